package zlforward

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"zinnialock/core/connection/zlreadbudget"
	"zinnialock/core/process/zldecision"
	"zinnialock/core/request/zlrelay"
)

// Handler serves the forwards of other VMs. Exported fields must be set before use.
type Handler struct {
	Relay *zlrelay.Relay
	// Budget limits the bytes of all requests that are being read or served; nil means no
	// limit.
	Budget *zlreadbudget.Budget
	// Stopping reports whether this VM takes no more requests since it stops.
	Stopping func() bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reservation := &zlreadbudget.Reservation{
		Budget: h.Budget,
	}
	defer reservation.Close()
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return
	}
	data, err := readAll(r.Body, r.ContentLength, reservation)
	var f *zlrelay.Forward
	if err == nil {
		f, err = decodeForward(data, time.Now(), reservation)
	}
	var e *Error
	switch {
	case errors.As(err, &e) && e.Kind == KindTooLarge:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case errors.As(err, &e):
		w.WriteHeader(http.StatusBadRequest)
		return
	case err != nil:
		// The body ended early.
		return
	}
	defer f.Request.End()
	if h.Stopping() {
		write(w, f, &zlrelay.Declined{
			Reason: zldecision.ReasonStopping,
		})
		return
	}
	// The head of the answer tells the other VM that the request is under way; the
	// stream that follows, that it still is.
	w.WriteHeader(http.StatusOK)
	if controller.SetReadDeadline(time.Time{}) != nil || controller.Flush() != nil {
		return
	}
	// The server notices in another goroutine that the other VM has given up: a request
	// that was read late must not be run as well.
	runtime.Gosched()
	if r.Context().Err() != nil {
		return
	}
	stop := keepAlive(w, controller)
	reply := h.Relay.ServeForward(r.Context(), f)
	stop()
	write(w, f, reply)
}

// keepAlive writes a sign of life each zlrelay.ForwardInterval until the function that it
// returns is called, which returns once nothing more is written.
func keepAlive(w io.Writer, controller *http.ResponseController) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(zlrelay.ForwardInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if _, err := w.Write([]byte{aliveByte}); err != nil {
				return
			}
			if err := controller.Flush(); err != nil {
				return
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// readAll reads a request as far as the budget allows.
func readAll(r io.Reader, length int64, reservation *zlreadbudget.Reservation) ([]byte, error) {
	tooLarge := &Error{
		Op:   "request",
		Kind: KindTooLarge,
	}
	if length < 0 || length > maxMessageBytes || !reservation.Grow(zlreadbudget.Bytes(length)) {
		return nil, tooLarge
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return data, nil
}

// write writes the reply. If that fails the connection ends, which the other VM takes for
// no reply.
func write(w io.Writer, f *zlrelay.Forward, reply zlrelay.ForwardReply) {
	data, err := encodeReply(f.Request.ID, reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(data); err != nil {
		panic(http.ErrAbortHandler)
	}
}
