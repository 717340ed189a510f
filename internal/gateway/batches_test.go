package gateway

import (
	"bytes"
	"io"
	"mime/multipart"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUploadForm reads the fields of an upload in any order.
func TestUploadForm(t *testing.T) {
	for _, test := range []struct {
		name   string
		fields [][2]string
		want   string
	}{
		{"purpose first", [][2]string{{"purpose", "batch"}, {"file", "text"}}, ""},
		{"purpose last", [][2]string{{"file", "text"}, {"other", "x"}, {"purpose", "batch"}}, ""},
		{"no purpose", [][2]string{{"file", "text"}}, `purpose "" is not served.*`},
		{"other purpose", [][2]string{{"file", "text"}, {"purpose", "fine-tune"}}, `purpose "fine-tune" is not served.*`},
		{"two files", [][2]string{{"purpose", "batch"}, {"file", "text"}, {"file", "more"}}, "the form has two files.*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var body bytes.Buffer
			w := multipart.NewWriter(&body)
			for _, field := range test.fields {
				c.Assert(w.WriteField(field[0], field[1]), qt.IsNil)
			}
			c.Assert(w.Close(), qt.IsNil)
			f := form{reader: multipart.NewReader(&body, w.Boundary())}
			file, err := f.next()
			c.Assert(err, qt.IsNil)
			text, err := io.ReadAll(file)
			c.Assert(err, qt.IsNil)
			c.Assert(string(text), qt.Equals, "text")
			err = f.finish()
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}
