package apierr

import "strings"

// At returns a copy with the given part of a path prepended to Field, as in
// fleet.teams.forecourt.
func (e *Error) At(part string) *Error {
	c := *e
	c.Field = JoinPath(part, e.Field)
	return &c
}

// JoinPath joins two parts of a field path with a dot, unless the lower part is an
// index in brackets.
func JoinPath(above, below string) string {
	switch {
	case above == "":
		return below
	case below == "", strings.HasPrefix(below, "["):
		return above + below
	}
	return above + "." + below
}
