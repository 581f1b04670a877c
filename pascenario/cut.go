package pascenario

import (
	"context"

	"github.com/rogpeppe/go-internal/testscript"

	"papayahead/pabundle"
	"papayahead/pastand"
)

func directions(a []string) ([]pastand.Direction, error) {
	if err := want(a, 2, "ZONE ZONE [oneway]"); err != nil {
		return nil, err
	}
	x, y := pabundle.ZoneName(a[0]), pabundle.ZoneName(a[1])
	all := []pastand.Direction{{From: x, To: y}}
	if len(a) < 3 {
		all = append(all, pastand.Direction{From: y, To: x})
	}
	return all, nil
}

func (w *World) wireCall(method, path string, all []pastand.Direction) error {
	for _, d := range all {
		if err := w.call(context.Background(), method, "http://"+w.deployment.Wire()+path, d, nil); err != nil {
			return err
		}
	}
	return nil
}

func cutZones(w *World, _ *testscript.TestScript, a []string) error {
	all, err := directions(a)
	if err != nil {
		return err
	}
	return w.wireCall("POST", "/Cuts", all)
}

func healZones(w *World, _ *testscript.TestScript, a []string) error {
	all, err := directions(a)
	if err != nil {
		return err
	}
	return w.wireCall("DELETE", "/Cuts", all)
}

func silence(w *World, _ *testscript.TestScript, a []string) error {
	all, err := directions(append(a, "oneway"))
	if err != nil {
		return err
	}
	return w.wireCall("POST", "/Silences", all)
}
