package settings

import (
	"reflect"
	"strings"
)

// reloadable are the keys that hold from a reload on; all others hold from the
// next start on.
var reloadable = map[string]bool{"seeds": true, "graceMilliseconds": true, "memoryMegabytes": true}

// Changes returns the keys that differ from next: those that may change while
// the role runs, and those that need a restart. bootstrap says how a process
// starts and is left out.
func (r Role) Changes(next Role) (now, afterRestart []string) {
	before, after := reflect.ValueOf(r), reflect.ValueOf(next)
	for i := range before.NumField() {
		key := keyOf(before.Type().Field(i))
		if key == "bootstrap" || reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			continue
		}
		if reloadable[key] {
			now = append(now, key)
		} else {
			afterRestart = append(afterRestart, key)
		}
	}
	return now, afterRestart
}

// With returns r with the keys of next that may change while the role runs.
func (r Role) With(next Role) Role {
	merged, from := reflect.ValueOf(&r).Elem(), reflect.ValueOf(next)
	for i := range merged.NumField() {
		if reloadable[keyOf(merged.Type().Field(i))] {
			merged.Field(i).Set(from.Field(i))
		}
	}
	return r
}

// keyOf returns the key of a field in the settings file.
func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return key
}
