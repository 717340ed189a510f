package apierr

import "strings"

// At returns a copy whose field stands below the given part of a path, as in
// fleet.teams.forecourt.
func (e *Error) At(part string) *Error {
	c := *e
	c.Field = JoinPath(part, e.Field)
	return &c
}

// JoinPath joins two parts of a path in a document.
func JoinPath(above, below string) string {
	switch {
	case above == "":
		return below
	case below == "", strings.HasPrefix(below, "["):
		return above + below
	}
	return above + "." + below
}
