package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/masticscale/masticscale/internal/apierr"
)

// Position is a position in a file. Lines and columns count from one.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// File is one file of JSON with comments.
type File struct {
	Name string
	Doc  map[string]any

	text    []byte
	offsets map[string]int // byte offset of each member name or list element, by path
}

// ReadFile reads and parses a file of JSON with comments.
func ReadFile(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return Parse(path, text)
}

// Parse parses JSON with comments. The name is used in errors. A duplicate name
// in an object is an error.
func Parse(name string, text []byte) (*File, error) {
	f := &File{Name: name, text: text, offsets: map[string]int{}}
	value, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, syntaxError(name, err)
	}
	root, isObject := value.Value.(*hujson.Object)
	if !isObject {
		return nil, f.errorAt(value.StartOffset, apierr.New(apierr.Invalid, "the file is not one JSON object", `begin it with "{"`))
	}
	if err := f.indexObject("", root); err != nil {
		return nil, err
	}
	value.Standardize()
	dec := json.NewDecoder(bytes.NewReader(value.Pack()))
	dec.UseNumber()
	if err := dec.Decode(&f.Doc); err != nil {
		return nil, apierr.Newf(apierr.Invalid, "mend the syntax", "%s: %v", name, err)
	}
	f.Doc, _ = convertNumbers(f.Doc).(map[string]any)
	return f, nil
}

var hujsonErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxError(name string, err error) error {
	if m := hujsonErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		return apierr.Newf(apierr.Invalid, "mend the syntax", "%s:%s:%s: %s", name, m[1], m[2], m[3])
	}
	return apierr.Newf(apierr.Invalid, "mend the syntax", "%s: %v", name, err)
}

// indexObject records the offset of each member of an object.
func (f *File) indexObject(path string, object *hujson.Object) error {
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		at := memberPath(path, name)
		if _, duplicate := f.offsets[at]; duplicate {
			return f.errorAt(member.Name.StartOffset, apierr.New(apierr.Invalid, "the name stands twice in one object", "remove one of the two").At(at))
		}
		f.offsets[at] = member.Name.StartOffset
		if err := f.indexValue(at, &member.Value); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) indexValue(path string, value *hujson.Value) error {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return f.indexObject(path, v)
	case *hujson.Array:
		for i := range v.Elements {
			at := fmt.Sprintf("%s[%d]", path, i)
			f.offsets[at] = v.Elements[i].StartOffset
			if err := f.indexValue(at, &v.Elements[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// Position returns the position of a path, or of its nearest ancestor in the
// file. It reports whether the path itself is in the file.
func (f *File) Position(path string) (Position, bool) {
	for at := path; at != ""; at = parentPath(at) {
		if offset, known := f.offsets[at]; known {
			return f.position(offset), at == path
		}
	}
	return f.position(0), path == ""
}

func (f *File) position(offset int) Position {
	before := f.text[:min(offset, len(f.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return Position{f.Name, line, column}
}

func (f *File) errorAt(offset int, e *apierr.Error) error {
	return withPosition(f.position(offset), e)
}

// withPosition returns the error with the position and the field path in front
// of its message.
func withPosition(p Position, e *apierr.Error) *apierr.Error {
	c := *e
	if e.Field != "" {
		c.Message = e.Field + ": " + e.Message
	}
	c.Message = p.String() + ": " + c.Message
	return &c
}

var unquotedNamePattern = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// memberPath returns the path of a member of an object. A name with characters
// other than letters, digits, "_" and "-" is quoted.
func memberPath(path, name string) string {
	if unquotedNamePattern.MatchString(name) {
		return apierr.JoinPath(path, name)
	}
	return fmt.Sprintf("%s[%q]", path, name)
}

func parentPath(path string) string {
	if strings.HasSuffix(path, `"]`) {
		return path[:strings.LastIndex(path, `["`)]
	}
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

// convertNumbers replaces json.Number values by float64. A number out of range
// becomes a string, so that the type check reports it.
func convertNumbers(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for name, value := range v {
			v[name] = convertNumbers(value)
		}
	case []any:
		for i, value := range v {
			v[i] = convertNumbers(value)
		}
	case json.Number:
		number, err := v.Float64()
		if err != nil {
			return v.String()
		}
		return number
	}
	return v
}
