package loadreplay

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"briarreach/placement"
)

// SettingError reports a placement setting that can't be set.
type SettingError struct{ Setting, Reason string }

func (e *SettingError) Error() string {
	return fmt.Sprintf("placement setting %q: %s", e.Setting, e.Reason)
}

// settingFields returns the fields of the settings by their names in snake case.
func settingFields(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		f := v.Field(i)
		if f.Kind() == reflect.Struct {
			for name, inner := range settingFields(f) {
				fields[name] = inner
			}
			continue
		}
		fields[snakeCase(v.Type().Field(i).Name)] = f
	}
	return fields
}

// snakeCase returns a Go name in snake case: CacheTTL as cache_ttl.
func snakeCase(name string) string {
	var b strings.Builder
	upper := func(i int) bool { return i < len(name) && name[i] >= 'A' && name[i] <= 'Z' }
	for i := range len(name) {
		if i > 0 && upper(i) && (!upper(i-1) || i+1 < len(name) && !upper(i+1)) {
			b.WriteByte('_')
		}
		b.WriteByte(name[i])
	}
	return strings.ToLower(b.String())
}

// SettingVariant returns the product with other placement settings, given as
// NAME=VALUE[+NAME=VALUE...] with the fields' names in snake case.
func SettingVariant(settings string) (Policy, error) {
	s := placement.Defaults()
	fields := settingFields(reflect.ValueOf(&s).Elem())
	for setting := range strings.SplitSeq(settings, "+") {
		name, value, found := strings.Cut(setting, "=")
		if !found {
			return nil, &SettingError{Setting: setting, Reason: "accepted is NAME=VALUE"}
		}
		f, ok := fields[name]
		if !ok {
			return nil, &SettingError{Setting: name, Reason: "accepted are " + strings.Join(slices.Sorted(maps.Keys(fields)), ", ")}
		}
		if err := setField(f, value); err != nil {
			return nil, &SettingError{Setting: name, Reason: err.Error()}
		}
	}
	return Placement{Name: settings, Settings: s}, nil
}

func setField(f reflect.Value, value string) error {
	switch f.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(value)
		f.SetInt(int64(d))
		return err
	case int:
		n, err := strconv.Atoi(value)
		f.SetInt(int64(n))
		return err
	case float64:
		x, err := strconv.ParseFloat(value, 64)
		f.SetFloat(x)
		return err
	case bool:
		on, err := strconv.ParseBool(value)
		f.SetBool(on)
		return err
	default:
		return fmt.Errorf("a %s can't be set", f.Type())
	}
}
