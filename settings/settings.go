// Package settings reads settings files: JSON with comments and trailing
// commas, decoded into plain structs.
//
// A field that the struct doesn't have, a value of the wrong type and a
// number outside the range in the field's tag are refused with the file, the
// line and the path of the field. The tag reads `range:"low..high"`; for a
// Duration both ends are durations, as in `range:"100ms..1h"`. A field tagged
// `need:"yes"` must be present and not empty.
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
	// Duration is a length of time written as a string such as "1.5s".
	Duration time.Duration

	// Section is a part of a settings file that is decoded later, by the
	// plug-in that owns it. It remembers where it stands.
	Section struct {
		File string
		Path string
		Line int
		Raw  json.RawMessage
	}
)

var (
	durationType = reflect.TypeFor[Duration]()
	sectionType  = reflect.TypeFor[map[string]Section]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

// Load reads the file into the struct that target points to. Members that
// the struct doesn't have are refused unless the struct has a field of type
// map[string]Section tagged json:"*", which takes those that are objects.
// Every failure is fault.Malformed and names the file, and where there is one
// the line and the field.
func Load(file string, target any) error {
	info, err := os.Stat(file)
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "%s: %v", file, err)
	}
	if info.Size() > maxFileBytes {
		return fault.New(fault.Malformed, fault.No, "%s: larger than %d bytes", file, maxFileBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "%s: %v", file, err)
	}
	return Parse(file, text, target)
}

// Parse is Load for text that was already read; file is used in messages.
func Parse(file string, text []byte, target any) error {
	// Standardize blanks comments out in place, so offsets stay those of the file.
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return fault.New(fault.Malformed, fault.No, "%s: %v", file, err)
	}
	return parse(Section{File: file, Line: 1, Raw: plain}, target)
}

// Decode decodes a section into the struct that target points to, by the
// rules of Load.
func (s Section) Decode(target any) error {
	return parse(s, target)
}

// UnmarshalJSON reads a duration from its text form.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var word string
	if err := json.Unmarshal(text, &word); err != nil {
		return fmt.Errorf("want a duration as a string, such as \"1.5s\"")
	}
	value, err := time.ParseDuration(word)
	if err != nil {
		return fmt.Errorf("want a duration such as \"1.5s\", got %q", word)
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON writes a duration in its text form.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

type reader struct {
	section Section
	decoder *json.Decoder
}

func parse(section Section, target any) error {
	r := &reader{section: section, decoder: json.NewDecoder(bytes.NewReader(section.Raw))}
	return r.value(reflect.ValueOf(target).Elem(), section.Path, "")
}

// value decodes the next JSON value into v and checks it against the tag.
func (r *reader) value(v reflect.Value, path, limits string) error {
	if _, leaf := v.Addr().Interface().(json.Unmarshaler); v.Kind() == reflect.Struct && !leaf {
		return r.object(v, path)
	}
	if v.Kind() == reflect.Slice && v.Type() != rawType && v.Type().Elem().Kind() == reflect.Struct {
		return r.list(v, path)
	}
	if v.Kind() == reflect.Map && v.Type().Elem().Kind() == reflect.Struct {
		return r.table(v, path)
	}
	var raw json.RawMessage
	if err := r.decoder.Decode(&raw); err != nil {
		return r.refuse(path, "%v", err)
	}
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		return r.refuse(path, "%s", plainly(err, v))
	}
	return r.bound(v, path, limits)
}

func (r *reader) object(v reflect.Value, path string) error {
	if err := r.open('{', path); err != nil {
		return err
	}
	seen := map[string]bool{}
	for r.decoder.More() {
		name, err := r.name(path)
		if err != nil {
			return err
		}
		inner := join(path, name)
		if seen[name] {
			return r.refuse(inner, "the field stands twice")
		}
		seen[name] = true
		field, ok := fieldOf(v.Type(), name)
		if !ok {
			if err := r.keep(v, name, inner); err != nil {
				return err
			}
			continue
		}
		if err := r.value(v.FieldByIndex(field.Index), inner, field.Tag.Get("range")); err != nil {
			return err
		}
	}
	if _, err := r.decoder.Token(); err != nil {
		return r.refuse(path, "%v", err)
	}
	return r.needed(v, path)
}

// keep keeps a member that no field takes for the plug-in that owns it.
func (r *reader) keep(v reflect.Value, name, path string) error {
	field, ok := fieldOf(v.Type(), "*")
	if !ok || field.Type != sectionType {
		return r.refuse(path, "no such field")
	}
	line := r.line()
	var raw json.RawMessage
	if err := r.decoder.Decode(&raw); err != nil {
		return r.refuse(path, "%v", err)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) {
		return r.refuse(path, "no such field")
	}
	sections := v.FieldByIndex(field.Index)
	if sections.IsNil() {
		sections.Set(reflect.MakeMap(sectionType))
	}
	s := Section{File: r.section.File, Path: path, Line: line, Raw: raw}
	sections.SetMapIndex(reflect.ValueOf(name), reflect.ValueOf(s))
	return nil
}

func (r *reader) list(v reflect.Value, path string) error {
	if err := r.open('[', path); err != nil {
		return err
	}
	for i := 0; r.decoder.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		if err := r.value(item, fmt.Sprintf("%s[%d]", path, i), ""); err != nil {
			return err
		}
		v.Set(reflect.Append(v, item))
	}
	_, err := r.decoder.Token()
	return err
}

func (r *reader) table(v reflect.Value, path string) error {
	if err := r.open('{', path); err != nil {
		return err
	}
	v.Set(reflect.MakeMap(v.Type()))
	for r.decoder.More() {
		name, err := r.name(path)
		if err != nil {
			return err
		}
		item := reflect.New(v.Type().Elem()).Elem()
		if err := r.value(item, join(path, name), ""); err != nil {
			return err
		}
		v.SetMapIndex(reflect.ValueOf(name), item)
	}
	_, err := r.decoder.Token()
	return err
}

func (r *reader) open(want json.Delim, path string) error {
	token, err := r.decoder.Token()
	if err != nil {
		return r.refuse(path, "%v", err)
	}
	if token != want {
		return r.refuse(path, "want %q, got %v", want.String(), token)
	}
	return nil
}

func (r *reader) name(path string) (string, error) {
	token, err := r.decoder.Token()
	if err != nil {
		return "", r.refuse(path, "%v", err)
	}
	name, ok := token.(string)
	if !ok {
		return "", r.refuse(path, "want a field name, got %v", token)
	}
	return name, nil
}

func (r *reader) needed(v reflect.Value, path string) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Tag.Get("need") == "yes" && v.Field(i).IsZero() {
			return r.refuse(join(path, jsonName(field)), "the field is needed")
		}
	}
	return nil
}

func (r *reader) bound(v reflect.Value, path, limits string) error {
	if limits == "" {
		return nil
	}
	low, high, _ := strings.Cut(limits, "..")
	var got, least, most float64
	switch {
	case v.Type() == durationType:
		got = float64(v.Int())
		least = durationOf(low)
		most = durationOf(high)
	case v.CanInt():
		got = float64(v.Int())
		least = numberOf(low)
		most = numberOf(high)
	case v.CanFloat():
		got = v.Float()
		least = numberOf(low)
		most = numberOf(high)
	}
	if got < least || got > most {
		return r.refuse(path, "out of range: want %s to %s", low, high)
	}
	return nil
}

func (r *reader) line() int {
	before := r.section.Raw[:r.decoder.InputOffset()]
	return r.section.Line + bytes.Count(before, []byte("\n"))
}

func (r *reader) refuse(path, format string, args ...any) error {
	return fault.New(fault.Malformed, fault.No, "%s:%d: %s: %s", r.section.File, r.line(), path, fmt.Sprintf(format, args...))
}

func plainly(err error, v reflect.Value) string {
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		return "want a value of type " + v.Type().String()
	}
	return err.Error()
}

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		field := t.Field(i)
		if jsonName(field) == name {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func numberOf(word string) float64 {
	number, err := strconv.ParseFloat(word, 64)
	if err != nil {
		panic("settings: bad range tag: " + word)
	}
	return number
}

func durationOf(word string) float64 {
	d, err := time.ParseDuration(word)
	if err != nil {
		panic("settings: bad range tag: " + word)
	}
	return float64(d)
}
