package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// unmarshalStrict decodes JSON into value, a pointer. encoding/json accepts
// unknown fields, duplicate fields and names in a different letter case, which
// would hide an operator's mistake, so the input is first checked against the
// type.
func unmarshalStrict(data []byte, value any, path string) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := checkValue(decoder, reflect.TypeOf(value).Elem(), path); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &DecodeError{Path: path, Reason: "data after the value"}
	}
	if err := json.Unmarshal(data, value); err != nil {
		return &DecodeError{Path: path, Reason: strings.TrimPrefix(err.Error(), "json: ")}
	}
	return nil
}

// checkValue reads one value from the decoder and checks it against the type.
func checkValue(decoder *json.Decoder, t reflect.Type, path string) error {
	if t == reflect.TypeFor[json.RawMessage]() {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return &DecodeError{Path: path, Reason: err.Error()}
		}
		return nil
	}
	token, err := decoder.Token()
	if err != nil {
		return &DecodeError{Path: path, Reason: err.Error()}
	}
	kind := t.Kind()
	if reflect.PointerTo(t).Implements(textType) {
		kind = reflect.String
	}
	ok := false
	switch kind {
	case reflect.Struct, reflect.Map:
		if token == json.Delim('{') {
			return checkObject(decoder, t, path)
		}
	case reflect.Slice:
		if token == json.Delim('[') {
			for i := 0; decoder.More(); i++ {
				if err := checkValue(decoder, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
					return err
				}
			}
			return readEnd(decoder, path)
		}
		ok = token == nil
	case reflect.String:
		_, ok = token.(string)
	case reflect.Bool:
		_, ok = token.(bool)
	default:
		_, ok = token.(float64)
	}
	if !ok {
		return &DecodeError{Path: path, Reason: fmt.Sprintf("expected %s, found %s", kindName(kind), tokenName(token))}
	}
	return nil
}

func checkObject(decoder *json.Decoder, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return &DecodeError{Path: path, Reason: err.Error()}
		}
		name := token.(string)
		fieldPath := joinPath(path, name)
		if seen[name] {
			return &DecodeError{Path: fieldPath, Reason: "duplicate field"}
		}
		seen[name] = true
		field, ok := fieldType(t, name)
		if !ok {
			return &DecodeError{Path: fieldPath, Reason: "unknown field"}
		}
		if err := checkValue(decoder, field, fieldPath); err != nil {
			return err
		}
	}
	return readEnd(decoder, path)
}

func readEnd(decoder *json.Decoder, path string) error {
	if _, err := decoder.Token(); err != nil {
		return &DecodeError{Path: path, Reason: err.Error()}
	}
	return nil
}

// fieldType returns the type of the field or map value with the JSON name in t.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for field := range t.Fields() {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag == name {
			return field.Type, true
		}
	}
	return nil, false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "a number"
}

func tokenName(token json.Token) string {
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return "an object"
		}
		return "an array"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case nil:
		return "null"
	}
	return "a number"
}
