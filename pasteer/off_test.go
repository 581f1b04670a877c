package pasteer

import "testing"

// A misspelt mechanism that is passed over would be measured as worth nothing.
func TestParseOffRejectsUnknownNames(t *testing.T) {
	o, err := ParseOff("Notes, ShiftBound")
	if err != nil || o != (Off{Notes: true, ShiftBound: true}) {
		t.Errorf("read %+v, %v", o, err)
	}
	if _, err := ParseOff("Notes,Shiftbound"); err == nil {
		t.Error("a name that is none was taken")
	}
	if o, err := ParseOff(""); err != nil || o != (Off{}) {
		t.Errorf("nothing read as %+v, %v", o, err)
	}
	for _, name := range Mechanisms() {
		if _, err := ParseOff(name); err != nil {
			t.Error(err)
		}
	}
}
