package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/masticscale/masticscale/internal/apierr"
)

// checkShape compares a document with the type that it is read into: unknown
// fields, wrong types and misplaced nulls. In an overlay null removes a field.
func checkShape(path string, value any, t reflect.Type, overlay bool) []*apierr.Error {
	if value == nil {
		if overlay {
			return nil
		}
		return shapeError(path, "null has no meaning here", "leave the field out")
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkStruct(path, value, t, overlay)
	case reflect.Map:
		object, ok := value.(map[string]any)
		if !ok {
			return wrongType(path, value, "an object")
		}
		return each(object, func(name string, v any) []*apierr.Error {
			return checkShape(pathTo(path, name), v, t.Elem(), overlay)
		})
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			return wrongType(path, value, "a list")
		}
		var all []*apierr.Error
		for i, v := range list {
			all = append(all, checkShape(fmt.Sprintf("%s[%d]", path, i), v, t.Elem(), false)...)
		}
		return all
	}
	return checkScalar(path, value, t)
}

func checkStruct(path string, value any, t reflect.Type, overlay bool) []*apierr.Error {
	object, ok := value.(map[string]any)
	if !ok {
		return wrongType(path, value, "an object")
	}
	fields := fieldsOf(t)
	return each(object, func(name string, v any) []*apierr.Error {
		field, known := fields[name]
		if !known {
			names := slices.Sorted(maps.Keys(fields))
			return shapeError(pathTo(path, name), fmt.Sprintf("field %q is not known", name), "use one of "+strings.Join(names, ", "))
		}
		return checkShape(pathTo(path, name), v, field, overlay)
	})
}

func checkScalar(path string, value any, t reflect.Type) []*apierr.Error {
	number, isNumber := value.(float64)
	switch t.Kind() {
	case reflect.String:
		if _, ok := value.(string); !ok {
			return wrongType(path, value, "text in quotes")
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			return wrongType(path, value, "true or false")
		}
	case reflect.Int, reflect.Int64:
		if !isNumber || number != math.Trunc(number) || math.Abs(number) > maxWhole {
			return wrongType(path, value, "a whole number")
		}
	case reflect.Float64:
		if !isNumber {
			return wrongType(path, value, "a number")
		}
	}
	return nil
}

// maxWhole is the largest whole number that JSON carries exactly.
const maxWhole = 1 << 53

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
	}
	return fields
}

// each visits the members of an object in the order of their names.
func each(object map[string]any, visit func(string, any) []*apierr.Error) []*apierr.Error {
	var all []*apierr.Error
	for _, name := range slices.Sorted(maps.Keys(object)) {
		all = append(all, visit(name, object[name])...)
	}
	return all
}

func wrongType(path string, value any, want string) []*apierr.Error {
	text, err := json.Marshal(value)
	if err != nil || len(text) > shownBytes {
		text = []byte("the value")
	}
	return shapeError(path, fmt.Sprintf("%s has the wrong type", text), "write "+want)
}

const shownBytes = 40

func shapeError(path, message, remedy string) []*apierr.Error {
	return []*apierr.Error{apierr.New(apierr.Invalid, message, remedy).At(path)}
}
