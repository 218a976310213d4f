// Package strictyaml decodes a single YAML document and rejects unknown keys. Its
// errors contain the key, the value and the allowed values.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"
)

// Error reports an invalid value.
type Error struct {
	Key     string // path of the key, such as dispatch.routing; empty: the whole document
	Value   string // as written
	Line    int    // starting at 1; 0: unknown
	Allowed string // description of the allowed values
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, "key %s, ", e.Key)
	}
	fmt.Fprintf(&b, "value %q, allowed: %s", e.Value, e.Allowed)
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Decode decodes data into the struct that into points to. Fields whose keys are
// missing in data keep their values. Errors: *Error.
func Decode(data []byte, into any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(into); err != nil {
		if e := findBadDuration(data, into); e != nil {
			return e
		}
		return translate(err, into)
	}
	var second any
	if err := dec.Decode(&second); !errors.Is(err, io.EOF) {
		return &Error{Allowed: "one YAML document", Value: "a second document"}
	}
	return nil
}

func translate(err error, into any) error {
	if errors.Is(err, io.EOF) {
		return &Error{Allowed: "a YAML mapping", Cause: err}
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		path := append(parentKeys(unknown.Token), unknown.Token.Value)
		return errorAt(unknown.Token, path, allowedKeys(into, path), err)
	}
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) {
		return errorAt(mismatch.Token, parentKeys(mismatch.Token), typeName(mismatch.DstType), err)
	}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		return syntaxError(yamlErr, err)
	}
	return &Error{Allowed: "YAML of the documented keys: " + err.Error(), Cause: err}
}

func syntaxError(yamlErr yaml.Error, cause error) *Error {
	tok := yamlErr.GetToken()
	path := parentKeys(tok)
	if isKey(tok) {
		path = append(path, tok.Value)
	}
	allowed := yamlErr.GetMessage()
	if strings.Contains(allowed, "already defined") {
		allowed = "each key once"
	}
	return errorAt(tok, path, allowed, cause)
}

// findBadDuration returns an error for the first invalid duration, or nil if there
// is none. The decoder's own error contains neither its key nor its line.
func findBadDuration(data []byte, into any) *Error {
	var raw any
	if err := yaml.Unmarshal(data, &raw); err != nil {
		return nil
	}
	return findBadDurationIn(raw, structElem(reflect.TypeOf(into)), nil)
}

func findBadDurationIn(raw any, t reflect.Type, path []string) *Error {
	values, ok := raw.(map[string]any)
	if !ok || t == nil {
		return nil
	}
	for i := range t.NumField() {
		f := t.Field(i)
		keyPath := append(path[:len(path):len(path)], Name(f))
		text, isText := values[Name(f)].(string)
		if f.Type != reflect.TypeFor[time.Duration]() {
			if e := findBadDurationIn(values[Name(f)], structElem(f.Type), keyPath); e != nil {
				return e
			}
			continue
		}
		if _, err := time.ParseDuration(text); isText && err != nil {
			return &Error{Key: strings.Join(keyPath, "."), Value: text, Allowed: typeName(f.Type), Cause: err}
		}
	}
	return nil
}

func isKey(tok *token.Token) bool {
	return tok.Next != nil && tok.Next.Type == token.MappingValueType
}

func errorAt(tok *token.Token, path []string, allowed string, cause error) *Error {
	e := &Error{Key: strings.Join(path, "."), Value: tok.Value, Allowed: allowed, Cause: cause}
	if tok.Position != nil {
		e.Line = tok.Position.Line
	}
	return e
}

// parentKeys returns the keys that enclose a token of a block mapping, outermost
// first.
func parentKeys(tok *token.Token) []string {
	if tok.Position == nil {
		return nil
	}
	var path []string
	column := tok.Position.Column
	for t := tok.Prev; t != nil; t = t.Prev {
		if isKey(t) && t.Position.Column < column {
			path = append([]string{t.Value}, path...)
			column = t.Position.Column
		}
	}
	return path
}

// allowedKeys lists the keys of the mapping that contains the last key of path.
func allowedKeys(into any, path []string) string {
	t := structElem(reflect.TypeOf(into))
	for _, key := range path[:len(path)-1] {
		t = structElem(fieldType(t, key))
	}
	if t == nil {
		return "a documented key"
	}
	var names []string
	for i := range t.NumField() {
		names = append(names, Name(t.Field(i)))
	}
	return strings.Join(names, ", ")
}

// Name returns the YAML key of a struct field.
func Name(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldType(t reflect.Type, key string) reflect.Type {
	if t == nil {
		return nil
	}
	for i := range t.NumField() {
		if Name(t.Field(i)) == key {
			return t.Field(i).Type
		}
	}
	return nil
}

func structElem(t reflect.Type) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		t = t.Elem()
	}
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	return t
}

func typeName(t reflect.Type) string {
	switch {
	case t == nil:
		return "a value of the documented type"
	case t == reflect.TypeFor[time.Duration]():
		return "a duration such as 5s or 250ms"
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "a mapping"
	case reflect.Slice:
		return "a sequence"
	case reflect.Bool:
		return "true, false"
	case reflect.String:
		return "a string"
	default:
		return "a number (" + t.Kind().String() + ")"
	}
}
