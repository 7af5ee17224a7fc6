package kernel

import (
	"slices"

	"endivedeck.example/settings"
)

var sections = map[string][]string{}

// AllowSection says, from an init function, that the settings of a role may
// have the named section. A section that no package allows is refused as an
// unknown field.
func AllowSection(role, name string) {
	sections[role] = append(sections[role], name)
}

// RegisterRole registers a role whose settings are the section of its name,
// with the check of them.
func RegisterRole[S any](name string, defaults func() S, build func(*Host, S) (Role, error)) {
	read := func(host *Host) (S, error) {
		section := defaults()
		err := host.Section(name, &section)
		return section, err
	}
	Roles.Register(name, func(host *Host) (Role, error) {
		section, err := read(host)
		if err != nil {
			return nil, err
		}
		return build(host, section)
	})
	Checkers.Register(name, func(host *Host) error {
		_, err := read(host)
		return err
	})
	AllowSection(name, name)
}

// Section decodes the named section of the settings into target; a section
// that the file doesn't have leaves target as it is.
func (h *Host) Section(name string, target any) error {
	section, ok := h.Process.Sections[name]
	if !ok {
		// An absent section is checked like an empty one, so that needed fields are named.
		section = settings.Section{File: "settings", Path: name, Line: 1, Raw: []byte("{}")}
	}
	return section.Decode(target)
}

func allowed(role, name string) bool {
	return slices.Contains(sections[role], name)
}
