package pabundle

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// MaxFileSize is the maximum size of a bundle's file in bytes. It is over twice the size of 3.9 million
// client blocks of about 60 bytes each. Larger files are refused, so that a wrong file does not exhaust
// the memory of the operator's machine.
const MaxFileSize = 512 << 20

// Decode parses a bundle's JSON and returns all errors of syntax and structure: unknown, duplicate and
// missing fields, wrong types, and data after the bundle. Field names are case-sensitive.
func Decode(data []byte) (Bundle, []FieldError) {
	var b Bundle
	if len(data) > MaxFileSize {
		return b, []FieldError{{Problem: fmt.Sprintf("%d bytes given, at most %d allowed", len(data), MaxFileSize)}}
	}
	d := decoder{data: data, json: json.NewDecoder(bytes.NewReader(data)), lines: lineIndex{data: data}}
	d.document(reflect.ValueOf(&b).Elem())
	return b, d.errors
}

// Check parses and validates a bundle's JSON and returns all errors of Decode and Validate with their
// positions in the file. The bundle may be rolled out only if there are none.
func Check(data []byte) (Bundle, []FieldError) {
	b, errs := Decode(data)
	if len(data) > MaxFileSize {
		return b, errs
	}
	known := map[string]bool{}
	for _, f := range errs {
		known[f.Path] = true
	}
	var more []FieldError
	for _, f := range b.Validate() {
		if !known[f.Path] && !hasSyntaxError(errs) {
			more = append(more, f)
		}
	}
	fillPositions(data, more)
	return b, append(errs, more...)
}

// syntaxProblem starts the Problem of a syntax error, after which the rest of the file is not parsed.
const syntaxProblem = "not JSON"

func hasSyntaxError(errs []FieldError) bool {
	n := len(errs)
	return n > 0 && strings.HasPrefix(errs[n-1].Problem, syntaxProblem)
}

// fieldPath is the path of a value from the root of the bundle; nil is the root.
type fieldPath struct {
	parent *fieldPath
	field  string
	index  int
}

// String formats the path like FieldError.Path.
func (p *fieldPath) String() string {
	switch {
	case p == nil:
		return ""
	case p.field == "":
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	case p.parent == nil:
		return p.field
	default:
		return p.parent.String() + "." + p.field
	}
}

// decoder decodes JSON into Go values and continues after an error, so that all errors are reported.
type decoder struct {
	data   []byte
	json   *json.Decoder
	lines  lineIndex
	errors []FieldError
	// visit, if set, is called with the path and offset of each value.
	visit func(p *fieldPath, offset int)
}

// errStopDecoding ends the decoding after a syntax error, which has been reported.
var errStopDecoding = errors.New("stop")

func (d *decoder) document(v reflect.Value) {
	if !utf8.Valid(d.data) {
		d.report(nil, invalidOffset(d.data), "%s: invalid UTF-8", syntaxProblem)
		return
	}
	if d.value(nil, v) != nil {
		return
	}
	if rest := bytes.TrimLeft(d.data[d.json.InputOffset():], " \t\r\n"); len(rest) > 0 {
		d.report(nil, len(d.data)-len(rest), "data after the bundle, want one JSON object")
	}
}

func (d *decoder) report(p *fieldPath, offset int, format string, arguments ...any) {
	line, column := d.lines.position(offset)
	d.errors = append(d.errors, FieldError{line, column, p.String(), fmt.Sprintf(format, arguments...)})
}

// syntaxError reports an error of the JSON decoder and returns errStopDecoding.
func (d *decoder) syntaxError(p *fieldPath, err error) error {
	offset := int(d.json.InputOffset())
	var s *json.SyntaxError
	if errors.As(err, &s) {
		offset = int(s.Offset) - 1
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		offset = len(d.data)
		err = errors.New("unexpected end of file")
	}
	d.report(p, max(offset, 0), "%s: %v", syntaxProblem, err)
	return errStopDecoding
}

// nextOffset returns the offset of the nextOffset token.
func (d *decoder) nextOffset() int {
	at := int(d.json.InputOffset())
	for at < len(d.data) && bytes.IndexByte([]byte(" \t\r\n,:"), d.data[at]) >= 0 {
		at++
	}
	return at
}

// value decodes one value into v.
func (d *decoder) value(p *fieldPath, v reflect.Value) error {
	at := d.nextOffset()
	if d.visit != nil {
		d.visit(p, at)
	}
	_, isText := v.Addr().Interface().(encoding.TextUnmarshaler)
	opens := func(c byte) bool { return at < len(d.data) && d.data[at] == c }
	switch {
	case !isText && v.Kind() == reflect.Struct && opens('{'):
		return d.object(p, v)
	case !isText && v.Kind() == reflect.Slice && opens('['):
		return d.array(p, v)
	}
	raw, err := d.skip(p)
	if err != nil {
		return err
	}
	if string(raw) == "null" {
		d.report(p, at, "null given, want %s", expectedType(v))
		return nil
	}
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil || v.Kind() == reflect.Struct && !isText {
		d.report(p, at, "%s given, want %s", truncated(raw), expectedType(v))
	}
	return nil
}

// skip reads the next value without decoding it.
func (d *decoder) skip(p *fieldPath) (json.RawMessage, error) {
	var raw json.RawMessage
	if err := d.json.Decode(&raw); err != nil {
		return nil, d.syntaxError(p, err)
	}
	return raw, nil
}

// object decodes a JSON object into the struct v and reports fields that are missing.
func (d *decoder) object(p *fieldPath, v reflect.Value) error {
	at := d.nextOffset()
	if _, err := d.json.Token(); err != nil {
		return d.syntaxError(p, err)
	}
	seen := make([]bool, v.NumField())
	for d.json.More() {
		if err := d.field(p, v, seen); err != nil {
			return err
		}
	}
	if _, err := d.json.Token(); err != nil {
		return d.syntaxError(p, err)
	}
	for i, s := range seen {
		f := v.Type().Field(i)
		if !s && !strings.Contains(f.Tag.Get("json"), "omitempty") {
			d.report(&fieldPath{parent: p, field: f.Name}, at, "missing, want %s", expectedType(v.Field(i)))
		}
	}
	return nil
}

// field decodes one key of an object and its value; seen marks the fields of v that were given so far.
func (d *decoder) field(p *fieldPath, v reflect.Value, seen []bool) error {
	at := d.nextOffset()
	token, err := d.json.Token()
	if err != nil {
		return d.syntaxError(p, err)
	}
	name, ok := token.(string)
	if !ok {
		return d.syntaxError(p, errors.New("object key is not a string"))
	}
	here := &fieldPath{parent: p, field: name}
	f, known := v.Type().FieldByName(name)
	switch {
	case !known:
		d.report(here, at, "unknown field, want one of %s", fieldNames(v.Type()))
	case seen[f.Index[0]]:
		d.report(here, at, "duplicate field")
	default:
		seen[f.Index[0]] = true
		return d.value(here, v.Field(f.Index[0]))
	}
	_, err = d.skip(here)
	return err
}

func (d *decoder) array(p *fieldPath, v reflect.Value) error {
	if _, err := d.json.Token(); err != nil {
		return d.syntaxError(p, err)
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, 0))
	for i := 0; d.json.More(); i++ {
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
		if err := d.value(&fieldPath{parent: p, index: i}, v.Index(i)); err != nil {
			return err
		}
	}
	if _, err := d.json.Token(); err != nil {
		return d.syntaxError(p, err)
	}
	return nil
}

// fillPositions sets the line and column of errors that have only a path. If the file has no value at a
// path, the position is that of the innermost enclosing value.
func fillPositions(data []byte, errs []FieldError) {
	if len(errs) == 0 {
		return
	}
	offsets := map[string]int{}
	for _, f := range errs {
		for path := f.Path; path != ""; path = parentPath(path) {
			offsets[path] = -1
		}
	}
	d := decoder{data: data, json: json.NewDecoder(bytes.NewReader(data)), lines: lineIndex{data: data}}
	d.visit = func(p *fieldPath, offset int) {
		path := p.String()
		if _, ok := offsets[path]; ok {
			offsets[path] = offset
		}
	}
	var b Bundle
	d.document(reflect.ValueOf(&b).Elem())
	for i, f := range errs {
		path := f.Path
		for path != "" && offsets[path] < 0 {
			path = parentPath(path)
		}
		errs[i].Line, errs[i].Column = d.lines.position(max(offsets[path], 0))
	}
}

// parentPath returns the path of the value that contains the one at path.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// expectedType describes the values that v accepts, for error messages.
func expectedType(v reflect.Value) string {
	switch v.Interface().(type) {
	case Duration:
		return "a duration such as \"1.5s\""
	}
	switch v.Type().String() {
	case "netip.AddrPort":
		return "an IP and port such as \"127.0.0.1:8080\""
	case "netip.Prefix":
		return "an address block such as \"10.1.0.0/16\""
	}
	switch v.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

func fieldNames(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Name
	}
	return strings.Join(names, ", ")
}

// maxQuotedBytes limits how much of a wrong value an error message quotes.
const maxQuotedBytes = 40

func truncated(raw []byte) string {
	if len(raw) <= maxQuotedBytes {
		return string(raw)
	}
	return strings.ToValidUTF8(string(raw[:maxQuotedBytes]), "") + "..."
}

// invalidOffset returns the offset of the first byte that is not valid UTF-8.
func invalidOffset(data []byte) int {
	for i := 0; i < len(data); {
		r, n := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && n <= 1 {
			return i
		}
		i += n
	}
	return len(data)
}
