package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// ParameterType determines how a parameter's value is checked.
type ParameterType string

// Types of parameters.
const (
	ParameterString   ParameterType = "string"
	ParameterInteger  ParameterType = "int"
	ParameterBoolean  ParameterType = "bool"
	ParameterDuration ParameterType = "duration"
	ParameterName     ParameterType = "name"
)

// Parameter declares a value that each service of a template sets, and what is valid for it.
type Parameter struct {
	Name string        `yaml:"name" json:"name"`
	Type ParameterType `yaml:"type" json:"type"`
	// Default is used if a service does not set the parameter. A parameter
	// without a default must be set.
	Default *string `yaml:"default" json:"default,omitempty"`
	// Minimum and Maximum bound the value of int parameters and the length in bytes of
	// string parameters (both inclusive).
	Minimum *int64 `yaml:"min" json:"min,omitempty"`
	Maximum *int64 `yaml:"max" json:"max,omitempty"`
	// Allowed lists the permitted values. Empty means all.
	Allowed     []string `yaml:"allowed" json:"allowed,omitempty"`
	Description string   `yaml:"description" json:"description,omitempty"`
}

// Template is a service description with parameters.
type Template struct {
	Name        string
	Description string
	Parameters  []Parameter
	// SpecText is the YAML text of the spec with ${parameter} placeholders.
	SpecText string
	// Revision of the last change.
	Revision uint64
}

// templateFile is the structure of a template file.
type templateFile struct {
	Template    string      `yaml:"template"`
	Description string      `yaml:"description"`
	Parameters  []Parameter `yaml:"parameters"`
	Spec        yaml.Node   `yaml:"spec"`
}

// ParseTemplate parses a template file. Unknown fields are rejected.
func ParseTemplate(data []byte) (Template, error) {
	var file templateFile
	if err := decodeStrictly(data, &file); err != nil {
		return Template{}, err
	}
	specText, err := yaml.Marshal(&file.Spec)
	if err != nil {
		return Template{}, fmt.Errorf("spec: %w", err)
	}
	template := Template{
		Name: file.Template, Description: file.Description,
		Parameters: file.Parameters, SpecText: string(specText),
	}
	return template, template.Validate()
}

func decodeStrictly(data []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(target); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.New("the file is empty")
		}
		return err
	}
	return nil
}

var placeholder = regexp.MustCompile(`\$\{([^}]*)\}`)

// Validate checks the template's own fields, that its spec uses only parameters that it
// declares, and that the spec can be decoded with sample values. It does not validate the
// resulting spec; see Resolve.
func (t *Template) Validate() error {
	if err := CheckName("template", t.Name); err != nil {
		return err
	}
	names := map[string]bool{}
	for i, parameter := range t.Parameters {
		field := fmt.Sprintf("parameters[%d]", i)
		if err := parameter.validate(field); err != nil {
			return err
		}
		if names[parameter.Name] {
			return fieldError(field+".name", parameter.Name, "give each parameter a name of its own")
		}
		names[parameter.Name] = true
	}
	for _, match := range placeholder.FindAllStringSubmatch(t.SpecText, -1) {
		if !names[match[1]] {
			return fieldError("spec", match[0], "declare the parameter, or correct its name; declared are: "+strings.Join(t.parameterNames(), ", "))
		}
	}
	_, err := t.decodeSpec(t.sampleValues())
	return err
}

func (t *Template) parameterNames() []string {
	names := make([]string, 0, len(t.Parameters))
	for _, parameter := range t.Parameters {
		names = append(names, parameter.Name)
	}
	return names
}

var parameterPattern = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)

func (p Parameter) validate(field string) error {
	if !parameterPattern.MatchString(p.Name) {
		return fieldError(field+".name", p.Name, "use lower-case letters, digits and underscores, beginning with a letter")
	}
	switch p.Type {
	case ParameterString, ParameterInteger, ParameterBoolean, ParameterDuration, ParameterName:
	default:
		return fieldError(field+".type", string(p.Type), "use string, name, int, bool or duration")
	}
	if p.Default != nil {
		return p.check(*p.Default)
	}
	return nil
}

// check returns an error that names the parameter if the value is not valid for it.
func (p Parameter) check(value string) error {
	field := "parameter " + p.Name
	if len(p.Allowed) > 0 && !slices.Contains(p.Allowed, value) {
		return fieldError(field, value, "use one of: "+strings.Join(p.Allowed, ", "))
	}
	switch p.Type {
	case ParameterInteger:
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fieldError(field, value, "use a whole number")
		}
		return p.checkBounds(field, value, number)
	case ParameterBoolean:
		if value != "true" && value != "false" {
			return fieldError(field, value, "use true or false")
		}
	case ParameterDuration:
		var parsed Duration
		if err := parsed.UnmarshalText([]byte(value)); err != nil {
			return fieldError(field, value, "use a time span such as 250ms or 2s")
		}
	case ParameterName:
		return CheckName(field, value)
	case ParameterString:
		if strings.ContainsAny(value, "\n\r\x00") {
			return fieldError(field, value, "use a single line")
		}
		return p.checkBounds(field, value, int64(len(value)))
	}
	return nil
}

func (p Parameter) checkBounds(field, value string, number int64) error {
	if p.Minimum != nil && number < *p.Minimum {
		return fieldError(field, value, fmt.Sprintf("use at least %d", *p.Minimum))
	}
	if p.Maximum != nil && number > *p.Maximum {
		return fieldError(field, value, fmt.Sprintf("use at most %d", *p.Maximum))
	}
	return nil
}

// NameParameter is set to the service's name by default if a template declares it.
const NameParameter = "service"

// Resolve substitutes the parameters and returns the validated spec.
func (t *Template) Resolve(serviceName string, values map[string]string) (Spec, error) {
	filled, err := t.resolveValues(serviceName, values)
	if err != nil {
		return Spec{}, err
	}
	spec, err := t.decodeSpec(filled)
	if err != nil {
		return Spec{}, err
	}
	spec.Complete()
	if err := spec.Validate(); err != nil {
		return Spec{}, fmt.Errorf("template %s for service %s: %w", t.Name, serviceName, err)
	}
	return spec, nil
}

// decodeSpec substitutes the placeholders and decodes the spec. Unknown fields are rejected.
func (t *Template) decodeSpec(filled map[string]string) (Spec, error) {
	var node yaml.Node
	if err := yaml.Unmarshal([]byte(t.SpecText), &node); err != nil {
		return Spec{}, fmt.Errorf("spec of template %s: %w", t.Name, err)
	}
	// Placeholders are substituted in scalar values of the parsed text, so that no
	// value can add fields to the spec.
	substitutePlaceholders(&node, filled)
	text, err := yaml.Marshal(&node)
	if err != nil {
		return Spec{}, fmt.Errorf("spec of template %s: %w", t.Name, err)
	}
	spec := NewSpec()
	if err := decodeStrictly(text, &spec); err != nil {
		return Spec{}, fmt.Errorf("spec of template %s: %w", t.Name, err)
	}
	return spec, nil
}

// sampleValues returns a value for every parameter, so that a spec's fields and types
// can be checked before there is a service.
func (t *Template) sampleValues() map[string]string {
	samples := map[ParameterType]string{
		ParameterString: "sample", ParameterName: "sample", ParameterInteger: "1", ParameterBoolean: "false", ParameterDuration: "1s",
	}
	values := map[string]string{}
	for _, parameter := range t.Parameters {
		switch {
		case parameter.Default != nil:
			values[parameter.Name] = *parameter.Default
		case len(parameter.Allowed) > 0:
			values[parameter.Name] = parameter.Allowed[0]
		default:
			values[parameter.Name] = samples[parameter.Type]
		}
	}
	return values
}

func (t *Template) resolveValues(serviceName string, values map[string]string) (map[string]string, error) {
	filled := map[string]string{}
	for _, parameter := range t.Parameters {
		value, set := values[parameter.Name]
		if !set && parameter.Name == NameParameter {
			value, set = serviceName, true
		}
		if !set {
			if parameter.Default == nil {
				return nil, fieldError("parameter "+parameter.Name, "", "set it with --set "+parameter.Name+"=VALUE; it has no default")
			}
			value = *parameter.Default
		}
		if err := parameter.check(value); err != nil {
			return nil, err
		}
		filled[parameter.Name] = value
	}
	for _, name := range sortedKeys(values) {
		if _, declared := filled[name]; !declared {
			return nil, fieldError("parameter "+name, values[name], "template "+t.Name+" declares no such parameter; declared are: "+strings.Join(t.parameterNames(), ", "))
		}
	}
	return filled, nil
}

func substitutePlaceholders(node *yaml.Node, filled map[string]string) {
	if node.Kind == yaml.ScalarNode && placeholder.MatchString(node.Value) {
		whole := placeholder.FindString(node.Value) == node.Value
		node.Value = placeholder.ReplaceAllStringFunc(node.Value, func(found string) string {
			return filled[found[2:len(found)-1]]
		})
		if whole {
			// A value that consists of one placeholder takes the type of the substituted value.
			node.Tag = ""
			node.Style = 0
		}
		return
	}
	for _, child := range node.Content {
		substitutePlaceholders(child, filled)
	}
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
