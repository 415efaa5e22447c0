package cli

import (
	"fmt"

	"hawthornshore.example/operatorapi"
	"hawthornshore.example/settings"
	"hawthornshore.example/structs"
)

type configShowCommand struct {
	Origin string `placeholder:"DIR" help:"Folder that the configuration was applied from: adds file and line to every value and marks values that differ from the folder."`
}

// Help implements kong.HelpProvider.
func (c *configShowCommand) Help() string {
	return `Prints an INI file that can be applied; origins are printed as comments.

Example:
  hawthornctl config show --origin examples/resin/system | grep max_queue`
}

// shownValue is a value in force with its origin.
type shownValue struct {
	operatorapi.Value
	Origin *settings.Origin `json:"origin,omitempty"`
	// Folder is the folder's value if it differs; "none" if it has none.
	Folder string `json:"folder,omitempty"`
}

// shownConfig is the JSON form of the output.
type shownConfig struct {
	Instance string               `json:"instance"`
	Change   operatorapi.Revision `json:"change"`
	Values   []shownValue         `json:"values"`
	Missing  []operatorapi.Value  `json:"missing,omitempty"` // values only in the folder
}

// Run shows the configuration in force.
func (c *configShowCommand) Run(e *environment) error {
	current, err := e.client.Config(e.ctx)
	if err != nil {
		return err
	}
	shown := shownConfig{Instance: current.Instance, Change: current.Change}
	shown.Change.Version = current.Config.Version
	if c.Origin == "" {
		for _, value := range operatorapi.Values(current.Config) {
			shown.Values = append(shown.Values, shownValue{Value: value})
		}
		return c.print(e, shown)
	}
	folder, origins, err := loadSystem(c.Origin)
	if err != nil {
		return err
	}
	shown.addOrigins(current.Config, folder, origins)
	return c.print(e, shown)
}

func (s *shownConfig) addOrigins(current, folder structs.SystemConfig, origins settings.Origins) {
	differing := map[settings.QualifiedKey]operatorapi.Change{}
	for _, change := range operatorapi.Diff(current, folder) {
		name := settings.QualifiedKey{Section: change.Section, Key: change.Key}
		differing[name] = change
		if change.Before == "" {
			s.Missing = append(s.Missing, operatorapi.Value{Section: change.Section, Key: change.Key, Text: change.After})
		}
	}
	for _, value := range operatorapi.Values(current) {
		shown := shownValue{Value: value}
		name := settings.QualifiedKey{Section: value.Section, Key: value.Key}
		if origin, ok := origins[name]; ok {
			shown.Origin = &origin
		}
		if change, ok := differing[name]; ok {
			shown.Folder = change.After
			if shown.Folder == "" {
				shown.Folder = "none"
			}
		}
		s.Values = append(s.Values, shown)
	}
}

func (c *configShowCommand) print(e *environment, shown shownConfig) error {
	if e.print.json {
		return e.print.object(shown)
	}
	change := shown.Change
	err := e.print.line("# version=%d operator=%s applied=%s operation_id=%s instance=%s",
		change.Version, orDash(change.Operator), orDash(formatTime(change.AppliedUnixMS)), orDash(change.OperationID), shown.Instance)
	if err != nil {
		return err
	}
	section := ""
	for _, value := range shown.Values {
		if value.Section != section {
			section = value.Section
			if err := e.print.line("\n[%s]", section); err != nil {
				return err
			}
		}
		if err := e.print.line("%s = %s%s", value.Key, value.Text, value.comment()); err != nil {
			return err
		}
	}
	for _, value := range shown.Missing {
		if err := e.print.line("# only in the folder: [%s] %s = %s", value.Section, value.Key, value.Text); err != nil {
			return err
		}
	}
	return nil
}

// comment returns the origin as an INI comment.
func (v *shownValue) comment() string {
	switch {
	case v.Origin == nil && v.Folder == "":
		return ""
	case v.Origin == nil:
		return " # not in the folder"
	case v.Folder != "":
		return fmt.Sprintf(" # differs: folder has %s (%s)", v.Folder, v.Origin)
	}
	return " # " + v.Origin.String()
}
