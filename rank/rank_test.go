package rank

import "testing"

// TestOrder acquires two mutexes in each order; the wrong one panics.
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

// TestUnchecked is the twin: with the check off, the wrong order goes unseen.
func TestUnchecked(t *testing.T) {
	checked = false
	t.Cleanup(func() { checked = true })
	a := New(Fleet)
	b := New(Control)
	a.Lock()
	defer a.Unlock()
	b.Lock()
	defer b.Unlock()
}
