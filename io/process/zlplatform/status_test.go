package zlplatform

import "testing"

// Guards against a write whose reply has an invalid status and that counts as rejected.
func TestWriteWithInvalidStatusMayHaveHappened(t *testing.T) {
	for _, status := range []int{0, 20, 99, 600, 999} {
		if got := kindOf(status); got != KindUnavailable {
			t.Errorf("status %d: got kind %q, want %q", status, got, KindUnavailable)
		}
	}
}
