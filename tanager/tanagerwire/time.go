package tanagerwire

import (
	"iter"
	"reflect"
	"sync"
	"time"
)

// maxYear is the last year that RFC 3339 can represent.
const maxYear = 9999

var timeType = reflect.TypeFor[time.Time]()

// timeTypes caches which types contain times, as most contain none.
var timeTypes sync.Map

// unencodableTime returns a time in v that cannot be encoded, and whether there is
// one. It does not look at values of interface types.
func unencodableTime(v reflect.Value) (time.Time, bool) {
	if !v.IsValid() || !containsTimes(v.Type()) {
		return time.Time{}, false
	}
	if v.Type() == timeType {
		t, _ := v.Interface().(time.Time)
		return t, t.Year() < 0 || t.Year() > maxYear
	}
	for part := range parts(v) {
		if t, found := unencodableTime(part); found {
			return t, true
		}
	}
	return time.Time{}, false
}

// parts returns the values that a pointer, struct, list or map consists of.
func parts(v reflect.Value) iter.Seq[reflect.Value] {
	return func(yield func(reflect.Value) bool) {
		switch v.Kind() {
		case reflect.Pointer:
			yield(v.Elem())
		case reflect.Struct:
			for i := range v.NumField() {
				if encodes(v.Type().Field(i)) && !yield(v.Field(i)) {
					return
				}
			}
		case reflect.Slice, reflect.Array, reflect.Map:
			for _, element := range v.Seq2() {
				if !yield(element) {
					return
				}
			}
		}
	}
}

// encodes reports whether a field, or those of an embedded struct, are encoded.
func encodes(f reflect.StructField) bool { return f.IsExported() || f.Anonymous }

// containsTimes reports whether values of a type may contain times, apart from
// interfaces and the keys of maps.
func containsTimes(t reflect.Type) bool {
	if known, ok := timeTypes.Load(t); ok {
		return known.(bool)
	}
	found := findTimes(t, make(map[reflect.Type]bool))
	timeTypes.Store(t, found)
	return found
}

// findTimes is containsTimes for a type that is reached through the visited ones.
func findTimes(t reflect.Type, visited map[reflect.Type]bool) bool {
	if t == timeType {
		return true
	}
	if visited[t] {
		return false
	}
	visited[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		return findTimes(t.Elem(), visited)
	case reflect.Struct:
		for i := range t.NumField() {
			if field := t.Field(i); encodes(field) && findTimes(field.Type, visited) {
				return true
			}
		}
	}
	return false
}
