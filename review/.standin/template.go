package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// scope is what names are looked up in: the entry of the innermost section first.
type scope struct {
	fields map[string]any
	entry  any
	key    any
	last   bool
	outer  *scope
}

// fill fills a template of the platform, as DEPLOY.md describes it, from the settings of a process.
func fill(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	rest, err := fillPart(&out, text, &scope{fields: fields}, "")
	if err == nil && rest != "" {
		err = fmt.Errorf("text behind the end of a section: %.40q", rest)
	}
	return out.String(), err
}

// fillPart fills the text up to the end of the section with the given name, and returns what follows.
func fillPart(out *strings.Builder, text string, s *scope, section string) (string, error) {
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			if section != "" {
				return "", fmt.Errorf("section %s has no end", section)
			}
			return "", nil
		}
		gap, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("a gap has no end: %.40q", rest)
		}
		text = after
		switch {
		case gap == "/"+section && section != "":
			return text, nil
		case strings.HasPrefix(gap, "#"), strings.HasPrefix(gap, "^"):
			var err error
			if text, err = fillSection(out, text, s, gap[1:], gap[0] == '^'); err != nil {
				return "", err
			}
		case gap == ",":
			if !s.last {
				out.WriteString(",")
			}
		default:
			name, asJSON := strings.CutSuffix(gap, "|json")
			out.WriteString(show(s.find(name), asJSON))
		}
	}
}

func fillSection(out *strings.Builder, text string, s *scope, name string, inverted bool) (string, error) {
	value := s.find(name)
	var inner []*scope
	switch v := value.(type) {
	case []any:
		for i, item := range v {
			inner = append(inner, &scope{entry: item, key: i, last: i == len(v)-1, outer: s})
		}
	case map[string]any:
		keys := sortedKeys(v)
		for i, key := range keys {
			inner = append(inner, &scope{entry: v[key], key: key, last: i == len(keys)-1, outer: s})
		}
	case nil:
	case bool:
		if v {
			inner = append(inner, &scope{entry: v, last: true, outer: s})
		}
	default:
		inner = append(inner, &scope{entry: v, last: true, outer: s})
	}
	if inverted {
		if len(inner) > 0 {
			inner = nil
		} else {
			inner = []*scope{{outer: s}}
		}
	}
	for _, each := range inner {
		if _, err := fillPart(out, text, each, name); err != nil {
			return "", err
		}
	}
	var ignored strings.Builder
	return fillPart(&ignored, text, &scope{outer: s}, name)
}

// find returns the value of a name, or nil.
func (s *scope) find(name string) any {
	switch name {
	case ".":
		if s.outer == nil {
			return s.fields
		}
		return s.entry
	case "@":
		return s.key
	}
	parts := strings.Split(name, ".")
	for each := s; each != nil; each = each.outer {
		from := each.entry
		if each.outer == nil {
			from = each.fields
		}
		if value, found := walk(from, parts); found {
			return value
		}
	}
	return nil
}

func walk(value any, parts []string) (any, bool) {
	for _, part := range parts {
		switch v := value.(type) {
		case map[string]any:
			next, found := v[part]
			if !found {
				return nil, false
			}
			value = next
		case []any:
			index, err := strconv.Atoi(part)
			if err != nil || index < 0 || index >= len(v) {
				return nil, false
			}
			value = v[index]
		default:
			return nil, false
		}
	}
	return value, true
}

func show(value any, asJSON bool) string {
	if asJSON {
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		var items []string
		for _, item := range v {
			items = append(items, show(item, false))
		}
		return strings.Join(items, ",")
	case map[string]any:
		encoded, _ := json.Marshal(v)
		return string(encoded)
	}
	return fmt.Sprint(value)
}

func sortedKeys(table map[string]any) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
