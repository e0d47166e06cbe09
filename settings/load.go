package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const environmentPrefix = "LIMEHOLD_"

// Override sets one setting by its path, for example control.listen.
type Override struct {
	Path  string
	Value string
}

// ParseOverride parses "path=value".
func ParseOverride(text string) (Override, error) {
	path, value, found := strings.Cut(text, "=")
	if !found {
		return Override{}, fmt.Errorf("--set %q: write it as path=value, for example control.listen=127.0.0.1:7000", text)
	}
	return Override{Path: path, Value: value}, nil
}

// Load returns the defaults, overridden by the settings file (unless file is
// empty), the environment and the overrides, in this order. It does not validate
// the result; see Validate.
func Load(file string, environment []string, overrides []Override) (Settings, error) {
	settings := Default()
	if file != "" {
		if err := settings.readFile(file); err != nil {
			return Settings{}, err
		}
	}
	for _, override := range environmentOverrides(environment) {
		if err := settings.set(override, "environment variable "+EnvironmentName(override.Path)); err != nil {
			return Settings{}, err
		}
	}
	for _, override := range overrides {
		if err := settings.set(override, "--set "+override.Path); err != nil {
			return Settings{}, err
		}
	}
	return settings, nil
}

func (s *Settings) readFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings file: %w", err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("settings file %s: %s", file, explainYAMLError(err))
	}
	return nil
}

// explainYAMLError shortens an error of the YAML decoder and points to the list of
// settings when a setting is unknown.
func explainYAMLError(err error) string {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	text = strings.ReplaceAll(text, "unmarshal errors:\n  ", "")
	if strings.Contains(text, "not found in type") {
		fields := strings.Fields(text)
		for i, word := range fields {
			if word == "field" && i+1 < len(fields) {
				return fmt.Sprintf("%s: unknown setting %q; see 'limehold check-config --list' for all settings", fields[0]+" "+strings.TrimSuffix(fields[1], ":"), fields[i+1])
			}
		}
	}
	return text
}

// EnvironmentName returns the environment variable for the setting at path.
func EnvironmentName(path string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(path, ".", "_"))
}

func environmentOverrides(environment []string) []Override {
	byName := map[string]string{}
	for _, path := range Paths() {
		byName[EnvironmentName(path)] = path
	}
	var overrides []Override
	for _, pair := range environment {
		name, value, _ := strings.Cut(pair, "=")
		if path, known := byName[name]; known {
			overrides = append(overrides, Override{Path: path, Value: value})
		}
	}
	slices.SortFunc(overrides, func(a, b Override) int { return strings.Compare(a.Path, b.Path) })
	return overrides
}

// Paths returns the paths of all settings that are not sections.
func Paths() []string {
	var paths []string
	collectPaths(reflect.TypeFor[Settings](), "", &paths)
	return paths
}

func collectPaths(structType reflect.Type, prefix string, paths *[]string) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		path := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			collectPaths(field.Type, path+".", paths)
			continue
		}
		*paths = append(*paths, path)
	}
}

// set assigns the override's value to the field at its path. Values of fields other
// than strings are decoded as YAML; the brackets of a list may be omitted. source names
// the override in errors.
func (s *Settings) set(override Override, source string) error {
	field, err := fieldAt(reflect.ValueOf(s).Elem(), override.Path)
	if err != nil {
		return fmt.Errorf("%s: %w", source, err)
	}
	if field.Kind() == reflect.String {
		field.SetString(override.Value)
		return nil
	}
	text := override.Value
	if field.Kind() == reflect.Slice && !strings.HasPrefix(strings.TrimSpace(text), "[") {
		text = "[" + text + "]"
	}
	if err := yaml.Unmarshal([]byte(text), field.Addr().Interface()); err != nil {
		return fmt.Errorf("%s is %q: %s", source, override.Value, expectedFormat(field.Type()))
	}
	return nil
}

func fieldAt(value reflect.Value, path string) (reflect.Value, error) {
	for _, part := range strings.Split(path, ".") {
		found := false
		if value.Kind() == reflect.Struct {
			for i := range value.NumField() {
				if value.Type().Field(i).Tag.Get("yaml") == part {
					value = value.Field(i)
					found = true
					break
				}
			}
		}
		if !found {
			return reflect.Value{}, fmt.Errorf("unknown setting %q; see 'limehold check-config --list' for all settings", path)
		}
	}
	if value.Kind() == reflect.Struct {
		return reflect.Value{}, fmt.Errorf("setting %q is a section; name one of its settings", path)
	}
	return value, nil
}

func expectedFormat(fieldType reflect.Type) string {
	switch {
	case fieldType == reflect.TypeFor[time.Duration]():
		return "use a time span such as 150ms or 2s"
	case fieldType.Kind() == reflect.Bool:
		return "use true or false"
	case fieldType.Kind() == reflect.Int, fieldType.Kind() == reflect.Int64:
		return "use a whole number"
	}
	return "use a list such as a,b or [a, b]"
}
