package kernel

import (
	"slices"

	"endivedeck.example/settings"
)

// checkedSettings is implemented by settings with conditions that tags can't express.
type checkedSettings interface {
	// Check returns the first error in the settings, with the name of the field.
	Check() error
}

var allowedSections = map[string][]string{} // by role

// AllowSection permits a section in the settings of a role. It must be called
// from an init function. Other sections are refused as unknown fields.
func AllowSection(role, name string) {
	allowedSections[role] = append(allowedSections[role], name)
}

// RegisterRole registers a role and the check of its settings. The settings are
// decoded from the section with the name of the role into the value that
// defaults returns. If they have a method Check, that is called too.
func RegisterRole[S any](name string, defaults func() S, build func(*Host, S) (Role, error)) {
	read := func(host *Host) (S, error) {
		section := defaults()
		if err := host.Section(name, &section); err != nil {
			return section, err
		}
		if checked, ok := any(&section).(checkedSettings); ok {
			return section, checked.Check()
		}
		return section, nil
	}
	Roles.Register(name, func(host *Host) (Role, error) {
		section, err := read(host)
		if err != nil {
			return nil, err
		}
		return build(host, section)
	})
	SettingsCheckers.Register(name, func(host *Host) error {
		_, err := read(host)
		return err
	})
	AllowSection(name, name)
}

// Section decodes the named section of the settings into target. An absent
// section is decoded like an empty one: target keeps its values, and a missing
// required field is an error.
func (h *Host) Section(name string, target any) error {
	section, ok := h.Process.Sections[name]
	if !ok {
		section = settings.Section{File: "settings", Path: name, Line: 1, Raw: []byte("{}")}
	}
	return section.Decode(target)
}

func sectionAllowed(role, name string) bool {
	return slices.Contains(allowedSections[role], name)
}
