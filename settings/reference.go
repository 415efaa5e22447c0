package settings

import (
	"fmt"
	"io"
	"strings"
)

// referenceIntroduction is the part of the reference page that does not come
// from the table.
const referenceIntroduction = `# Configuration

This page is written by ` + "`hawthornctl config keys --markdown`" + ` from the table in settings/table.go. Do not edit it by hand.

There are two kinds of folders: the settings of one daemon, and the system configuration that all instances share. Both are read in the same way.

- Files whose names end in ` + "`.ini`" + ` are read in the byte order of their names (` + "`10-`" + ` comes before ` + "`9-`" + `). Hidden files, subfolders and other files are ignored.
- A later file overrides single keys of earlier files or adds keys and sections. It cannot remove a section.
- A file consists of sections ` + "`[name]`" + `, lines ` + "`key = value`" + `, and comments that begin with ` + "`#`" + ` or ` + "`;`" + `, on their own line or after a space. A value is on one line and may be quoted. A file sets a key at most once.
- Durations and sizes are written with a unit: ` + "`3s`, `1m30s`, `64kB`" + `. An empty value means "not set" and is accepted only where the default is empty.
- Unknown sections and keys, bad values and values out of range are errors, also where a later file overrides them. All errors of a folder are reported at once, and a folder with errors is rejected as a whole.
- Relative paths start at the folder of the settings.

Check a folder with ` + "`hawthornctl config check DIR`" + `.
`

// WriteReference writes the reference page in Markdown.
func WriteReference(w io.Writer) error {
	var b strings.Builder
	b.WriteString(referenceIntroduction)
	for _, schema := range Schemas() {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n", schema.Name, schema.Doc)
		for i := range schema.Sections {
			writeSection(&b, &schema.Sections[i])
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeSection(b *strings.Builder, section *SectionSpec) {
	fmt.Fprintf(b, "\n### %s\n\n%s\n\n", section.Title(), section.Doc)
	b.WriteString("| key | default | unit | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for i := range section.Keys {
		key := &section.Keys[i]
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.defaultText(), key.UnitText(), key.Allowed(), key.Doc)
	}
}

// defaultText returns the default for the reference page.
func (s *KeySpec) defaultText() string {
	switch {
	case s.Required:
		return "required"
	case s.Default == "":
		return "not set"
	}
	return "`" + s.Default + "`"
}
