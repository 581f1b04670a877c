package pakey

import (
	"errors"
	"strings"
	"testing"
)

// If two programs parsed a credential differently, a request could run as another workspace.
func TestParseTakesOneKeyOfOneScheme(t *testing.T) {
	for _, c := range []struct {
		fields []string
		want   string
		err    error
	}{
		{nil, "", ErrMissing},
		{[]string{"Bearer abc"}, "abc", nil},
		{[]string{"bEARER  abc"}, "abc", nil},
		{[]string{"Bearer a.b-c_d~e+f/g=="}, "a.b-c_d~e+f/g==", nil},
		{[]string{"Bearer abc", "Bearer abc"}, "", ErrMalformed},
		{[]string{"Bearer abc, Bearer def"}, "", ErrMalformed},
		{[]string{"Basic abc"}, "", ErrMalformed},
		{[]string{"Bearer"}, "", ErrMalformed},
		{[]string{"Bearer "}, "", ErrMalformed},
		{[]string{""}, "", ErrMalformed},
		{[]string{"Bearer\tabc"}, "", ErrMalformed},
		{[]string{"Bearer a\x00b"}, "", ErrMalformed},
		{[]string{"Bearer abc "}, "", ErrMalformed},
		{[]string{"Bearer " + strings.Repeat("x", 16<<10)}, "", ErrMalformed},
		{[]string{"Bearer äbc"}, "", ErrMalformed},
	} {
		got, err := Parse(c.fields)
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%.30q: %q, %v; want %q, %v", c.fields, got, err, c.want, c.err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("Bearer abc")
	f.Fuzz(func(t *testing.T, field string) {
		key, err := Parse([]string{field})
		if err == nil && !Valid(key) {
			t.Errorf("%q: Parse returned the invalid key %q", field, key)
		}
		if err != nil && len(field) > 3 && strings.Contains(err.Error(), field) {
			t.Errorf("the error contains what the caller sent: %v", err)
		}
	})
}

func TestKeyringFindsHolders(t *testing.T) {
	r := NewKeyring()
	r.Add("one", 1)
	r.Add("two", 2)
	if h, ok := r.Lookup("two"); !ok || h != 2 {
		t.Errorf("holder %d, %v; want 2, true", h, ok)
	}
	for _, k := range []string{"", "three", "ONE", "one "} {
		if _, ok := r.Lookup(k); ok {
			t.Errorf("%q has a holder, want none", k)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	r := NewKeyring()
	for i := range 84 {
		r.Add(strings.Repeat("k", i+1), i)
	}
	for b.Loop() {
		r.Lookup("kkkkkkkkkkkkkkkkkkkk")
	}
}
