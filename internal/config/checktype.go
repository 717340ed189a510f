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

// checkType checks a value against the Go type that it is decoded into and
// reports unknown fields, wrong types and nulls. In an overlay null is allowed,
// because it removes a field.
func checkType(path string, value any, t reflect.Type, overlay bool) []*apierr.Error {
	if value == nil {
		if overlay {
			return nil
		}
		return fieldError(path, "null has no meaning here", "leave the field out")
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkStruct(path, value, t, overlay)
	case reflect.Map:
		object, ok := value.(map[string]any)
		if !ok {
			return typeError(path, value, "an object")
		}
		return visitMembers(object, func(name string, v any) []*apierr.Error {
			return checkType(memberPath(path, name), v, t.Elem(), overlay)
		})
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			return typeError(path, value, "a list")
		}
		var errs []*apierr.Error
		for i, v := range list {
			errs = append(errs, checkType(fmt.Sprintf("%s[%d]", path, i), v, t.Elem(), false)...)
		}
		return errs
	}
	return checkScalar(path, value, t)
}

func checkStruct(path string, value any, t reflect.Type, overlay bool) []*apierr.Error {
	object, ok := value.(map[string]any)
	if !ok {
		return typeError(path, value, "an object")
	}
	fields := jsonFields(t)
	return visitMembers(object, func(name string, v any) []*apierr.Error {
		field, known := fields[name]
		if !known {
			names := slices.Sorted(maps.Keys(fields))
			return fieldError(memberPath(path, name), fmt.Sprintf("field %q is not known", name), "use one of "+strings.Join(names, ", "))
		}
		return checkType(memberPath(path, name), v, field, overlay)
	})
}

func checkScalar(path string, value any, t reflect.Type) []*apierr.Error {
	number, isNumber := value.(float64)
	switch t.Kind() {
	case reflect.String:
		if _, ok := value.(string); !ok {
			return typeError(path, value, "text in quotes")
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			return typeError(path, value, "true or false")
		}
	case reflect.Int, reflect.Int64:
		if !isNumber || number != math.Trunc(number) || math.Abs(number) > maxExactInteger {
			return typeError(path, value, "a whole number")
		}
	case reflect.Float64:
		if !isNumber {
			return typeError(path, value, "a number")
		}
	}
	return nil
}

// maxExactInteger is the bound up to which a float64 holds every integer exactly.
const maxExactInteger = 1 << 53

// jsonFields returns the types of a struct's fields by JSON name.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
	}
	return fields
}

// visitMembers calls visit for each member of an object in order of name and
// collects the errors.
func visitMembers(object map[string]any, visit func(string, any) []*apierr.Error) []*apierr.Error {
	var errs []*apierr.Error
	for _, name := range slices.Sorted(maps.Keys(object)) {
		errs = append(errs, visit(name, object[name])...)
	}
	return errs
}

func typeError(path string, value any, want string) []*apierr.Error {
	text, err := json.Marshal(value)
	if err != nil || len(text) > maxShownValueBytes {
		text = []byte("the value")
	}
	return fieldError(path, fmt.Sprintf("%s has the wrong type", text), "write "+want)
}

const maxShownValueBytes = 40

func fieldError(path, message, remedy string) []*apierr.Error {
	return []*apierr.Error{apierr.New(apierr.Invalid, message, remedy).At(path)}
}
