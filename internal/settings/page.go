package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// MarkdownPage returns the text of docs/settings.md: every setting of both kinds of host, from the
// struct tags.
func MarkdownPage() string {
	var b strings.Builder
	b.WriteString("# Settings of a host\n\n")
	b.WriteString("`gentiancroft serve --settings FILE` reads one YAML file. An unknown or repeated key, a wrong\n")
	b.WriteString("unit or missing key material is an error that names file, line and field (exit code 2).\n")
	b.WriteString("Durations are written as `250ms`, `10s`, `1h`; sizes as `512B`, `16KiB`, `1MiB`. Relative paths\n")
	b.WriteString("start at the settings file's directory. Samples: `examples/`. This page is checked against the code.\n\n")
	b.WriteString("| field | needed | default | meaning |\n|---|---|---|---|\n")
	writeFields(&b, "", reflect.TypeFor[Host]())
	b.WriteString("\n# Settings of a relaying host\n\n")
	b.WriteString("`gentiancroft relay --settings FILE` reads one YAML file under the same rules.\n\n")
	b.WriteString("| field | needed | default | meaning |\n|---|---|---|---|\n")
	writeFields(&b, "", reflect.TypeFor[Relay]())
	return b.String()
}

func writeFields(b *strings.Builder, prefix string, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("yaml")
		if name == "" {
			continue
		}
		needed := ""
		if strings.Contains(f.Tag.Get("validate"), "required") {
			needed = "yes"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", prefix+name, needed, f.Tag.Get("default"), f.Tag.Get("doc"))
		switch f.Type.Kind() {
		case reflect.Struct:
			writeFields(b, prefix+name+".", f.Type)
		case reflect.Slice:
			writeFields(b, prefix+name+"[].", f.Type.Elem())
		}
	}
}
