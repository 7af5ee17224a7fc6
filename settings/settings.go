// Package settings decodes settings files into structs. The files are JSON with
// comments and trailing commas.
//
// An unknown field, a duplicate field, a value of the wrong type and a value out
// of range are errors that name the file, the line and the path of the field.
//
// The range of a field is set by a tag `range:"low..high"`, with both limits
// included. The limits of a Duration are durations, as in `range:"100ms..1h"`. A
// field with the tag `need:"yes"` is required and must not have the zero value.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"endivedeck.example/fault"
)

const maxFileBytes = 4 << 20

type (
	// Duration is a time.Duration that is encoded as a string such as "1.5s".
	Duration time.Duration

	// Section is an object in a settings file that is decoded later, by the
	// plug-in to which it belongs.
	Section struct {
		File string
		Path string // of the section in the file
		Line int    // at which the section starts
		Raw  json.RawMessage
	}
)

var (
	durationType   = reflect.TypeFor[Duration]()
	sectionMapType = reflect.TypeFor[map[string]Section]()
	rawMessageType = reflect.TypeFor[json.RawMessage]()
)

// Load decodes the file into the struct that target points to. An unknown field
// is an error, except if it is an object and the struct has a field of type
// map[string]Section with the tag json:"*", which receives it as a Section. All
// errors are of kind fault.Malformed.
func Load(file string, target any) error {
	info, err := os.Stat(file)
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "%s: %v", file, err)
	}
	if info.Size() > maxFileBytes {
		return fault.New(fault.Malformed, fault.NotRun, "%s: file too large: limit %d bytes, got %d", file, maxFileBytes, info.Size())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "%s: %v", file, err)
	}
	return Parse(file, text, target)
}

// Parse is like Load, with the content of the file given. The file name is used
// in messages.
func Parse(file string, text []byte, target any) error {
	// Standardize replaces comments by spaces, so the line numbers stay correct.
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "%s: %v", file, err)
	}
	return parse(Section{File: file, Line: 1, Raw: plain}, target)
}

// Decode decodes a section into the struct that target points to, like Load.
func (s Section) Decode(target any) error {
	return parse(s, target)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("want a duration as a string, such as \"1.5s\"")
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("want a duration such as \"1.5s\", got %q", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// parser decodes a section, whose text has no comments.
type parser struct {
	section Section
	decoder *json.Decoder
}

func parse(section Section, target any) error {
	p := &parser{section: section, decoder: json.NewDecoder(bytes.NewReader(section.Raw))}
	return p.decodeValue(reflect.ValueOf(target).Elem(), section.Path, "")
}

// decodeValue decodes the next JSON value into v. The path is that of the value,
// and limits is its range tag.
func (p *parser) decodeValue(v reflect.Value, path, limits string) error {
	if _, leaf := v.Addr().Interface().(json.Unmarshaler); v.Kind() == reflect.Struct && !leaf {
		return p.decodeStruct(v, path)
	}
	if v.Kind() == reflect.Slice && v.Type() != rawMessageType && v.Type().Elem().Kind() == reflect.Struct {
		return p.decodeSlice(v, path)
	}
	if v.Kind() == reflect.Map && v.Type().Elem().Kind() == reflect.Struct {
		return p.decodeMap(v, path)
	}
	var raw json.RawMessage
	if err := p.decoder.Decode(&raw); err != nil {
		return p.errorAt(path, "%v", err)
	}
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		return p.errorAt(path, "%s", describeError(err, v))
	}
	return p.checkRange(v, path, limits)
}

// decodeStruct decodes a JSON object into the struct v.
func (p *parser) decodeStruct(v reflect.Value, path string) error {
	if err := p.expectDelim('{', path); err != nil {
		return err
	}
	seen := map[string]bool{}
	for p.decoder.More() {
		name, err := p.readName(path)
		if err != nil {
			return err
		}
		memberPath := joinPath(path, name)
		if seen[name] {
			return p.errorAt(memberPath, "duplicate field")
		}
		seen[name] = true
		field, ok := findField(v.Type(), name)
		if !ok {
			if err := p.keepSection(v, name, memberPath); err != nil {
				return err
			}
			continue
		}
		if err := p.decodeValue(v.FieldByIndex(field.Index), memberPath, field.Tag.Get("range")); err != nil {
			return err
		}
	}
	if _, err := p.decoder.Token(); err != nil {
		return p.errorAt(path, "%v", err)
	}
	return p.checkRequired(v, path)
}

// keepSection stores a member that has no field in v as a section, if v holds
// sections and the member is an object.
func (p *parser) keepSection(v reflect.Value, name, path string) error {
	field, ok := findField(v.Type(), "*")
	if !ok || field.Type != sectionMapType {
		return p.errorAt(path, "no such field")
	}
	line := p.line()
	var raw json.RawMessage
	if err := p.decoder.Decode(&raw); err != nil {
		return p.errorAt(path, "%v", err)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) {
		return p.errorAt(path, "no such field")
	}
	sections := v.FieldByIndex(field.Index)
	if sections.IsNil() {
		sections.Set(reflect.MakeMap(sectionMapType))
	}
	s := Section{File: p.section.File, Path: path, Line: line, Raw: raw}
	sections.SetMapIndex(reflect.ValueOf(name), reflect.ValueOf(s))
	return nil
}

// decodeSlice appends the elements of a JSON array to the slice v of structs.
func (p *parser) decodeSlice(v reflect.Value, path string) error {
	if err := p.expectDelim('[', path); err != nil {
		return err
	}
	for i := 0; p.decoder.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		if err := p.decodeValue(item, fmt.Sprintf("%s[%d]", path, i), ""); err != nil {
			return err
		}
		v.Set(reflect.Append(v, item))
	}
	_, err := p.decoder.Token()
	return err
}

// decodeMap decodes a JSON object into the map v of structs.
func (p *parser) decodeMap(v reflect.Value, path string) error {
	if err := p.expectDelim('{', path); err != nil {
		return err
	}
	v.Set(reflect.MakeMap(v.Type()))
	for p.decoder.More() {
		name, err := p.readName(path)
		if err != nil {
			return err
		}
		item := reflect.New(v.Type().Elem()).Elem()
		if err := p.decodeValue(item, joinPath(path, name), ""); err != nil {
			return err
		}
		v.SetMapIndex(reflect.ValueOf(name), item)
	}
	_, err := p.decoder.Token()
	return err
}

// expectDelim reads the delimiter that starts an object or an array.
func (p *parser) expectDelim(want json.Delim, path string) error {
	token, err := p.decoder.Token()
	if err != nil {
		return p.errorAt(path, "%v", err)
	}
	if token != want {
		return p.errorAt(path, "want %q, got %v", want.String(), token)
	}
	return nil
}

// readName reads the name of the next member of an object.
func (p *parser) readName(path string) (string, error) {
	token, err := p.decoder.Token()
	if err != nil {
		return "", p.errorAt(path, "%v", err)
	}
	name, ok := token.(string)
	if !ok {
		return "", p.errorAt(path, "want a field name, got %v", token)
	}
	return name, nil
}

// checkRequired checks that the required fields of the struct v are set.
func (p *parser) checkRequired(v reflect.Value, path string) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Tag.Get("need") == "yes" && v.Field(i).IsZero() {
			return p.errorAt(joinPath(path, jsonName(field)), "the field is required")
		}
	}
	return nil
}

// checkRange checks a number or a duration against its range tag.
func (p *parser) checkRange(v reflect.Value, path, limits string) error {
	if limits == "" {
		return nil
	}
	low, high, _ := strings.Cut(limits, "..")
	var got, minimum, maximum float64
	switch {
	case v.Type() == durationType:
		got = float64(v.Int())
		minimum = parseDuration(low)
		maximum = parseDuration(high)
	case v.CanInt():
		got = float64(v.Int())
		minimum = parseNumber(low)
		maximum = parseNumber(high)
	case v.CanFloat():
		got = v.Float()
		minimum = parseNumber(low)
		maximum = parseNumber(high)
	}
	if got < minimum || got > maximum {
		return p.errorAt(path, "out of range: want %s to %s", low, high)
	}
	return nil
}

// line returns the line in the file at which the decoder is.
func (p *parser) line() int {
	before := p.section.Raw[:p.decoder.InputOffset()]
	return p.section.Line + bytes.Count(before, []byte("\n"))
}

// errorAt returns an error about the value at path, with the file and the line.
func (p *parser) errorAt(path, format string, args ...any) error {
	return fault.New(fault.Malformed, fault.NotRun, "%s:%d: %s: %s", p.section.File, p.line(), path, fmt.Sprintf(format, args...))
}

// describeError describes an error of decoding into v without the internals of
// package json.
func describeError(err error, v reflect.Value) string {
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		return "want a value of type " + v.Type().String()
	}
	return err.Error()
}

// findField returns the field of the struct type t with the given JSON name.
func findField(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		if jsonName(field) == name {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// jsonName returns the name of a field in its json tag.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parseNumber parses a limit in a range tag.
func parseNumber(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("settings: invalid range tag: " + text)
	}
	return number
}

// parseDuration parses a limit in the range tag of a Duration.
func parseDuration(text string) float64 {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("settings: invalid range tag: " + text)
	}
	return float64(d)
}
