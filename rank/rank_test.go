package rank

import "testing"

// TestOrder checks that acquiring a second mutex panics unless its rank is higher.
func TestOrder(t *testing.T) {
	tests := []struct {
		name      string
		first     Rank
		second    Rank
		wantPanic bool
	}{
		{"upwards", Control, Fleet, false},
		{"downwards", Fleet, Control, true},
		{"the same rank twice", Fleet, Fleet, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := New(test.first)
			b := New(test.second)
			a.Lock()
			defer a.Unlock()
			defer func() {
				got := recover() != nil
				if got != test.wantPanic {
					t.Errorf("got panic %v, want %v", got, test.wantPanic)
				}
			}()
			b.Lock()
			defer b.Unlock()
		})
	}
}

// TestUnchecked checks that the panics of TestOrder come from the order check: with
// the check disabled, the wrong order doesn't panic.
func TestUnchecked(t *testing.T) {
	checkOrder = false
	t.Cleanup(func() { checkOrder = true })
	a := New(Fleet)
	b := New(Control)
	a.Lock()
	defer a.Unlock()
	b.Lock()
	defer b.Unlock()
}
