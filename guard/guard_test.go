package guard

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a panic in a decoder that ends the process, and against one that is reported as success.
func TestDecode(t *testing.T) {
	failed := errors.New("failed")
	if err := Decode(func() error { return failed }); !errors.Is(err, failed) {
		t.Errorf("error %v, want %v", err, failed)
	}
	var entries []int
	err := Decode(func() error {
		_ = entries[len(entries)]
		return nil
	})
	if err == nil || !strings.Contains(err.Error(), "index out of range") {
		t.Errorf("error %v, want the panic", err)
	}
}
