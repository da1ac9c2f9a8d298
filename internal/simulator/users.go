package simulator

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"aspenstall/internal/wire"
)

// request sends one user request and returns the response's status and body; the status is 0 if
// there is no response.
func (w *World) request(method, at, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Close = true
	return Exchange(w.Net.Client("user"), req)
}

// nextNodeAddr returns the address of the next node in turn, as a load balancer would.
func (w *World) nextNodeAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.userRequests++
	return w.Nodes[w.userRequests%len(w.Nodes)].addr
}

// PostJob submits a job's body once to one node and returns the response's status, 0 for none. The
// checker is not informed.
func (w *World) PostJob(i int, body any) int {
	b, _ := wire.Marshal(body)
	status, _ := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath, b, 5*time.Second)
	return status
}

// Submit submits a job as a user does, with retries for 60 s, and reports whether it was accepted.
func (w *World) Submit(s Spec) bool {
	w.mu.Lock()
	w.specs[s.ID] = &s
	w.mu.Unlock()
	b, _ := wire.Marshal(&s)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && w.ctx.Err() == nil; {
		status, _ := w.request(http.MethodPost, w.nextNodeAddr(), wire.JobsPath, b, 5*time.Second)
		switch status {
		case http.StatusOK, http.StatusCreated:
			w.checker.JobAccepted(s.ID)
			w.notifyUserState(s.ID)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			w.checker.JobRefused(s.ID, status)
			w.checker.dependenciesRefused(&s, status)
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Poll requests a job's state once from the next node, and returns the state that the user is told:
// "" if there was no answer, "unknown" if there is no such job.
func (w *World) Poll(id string) string { return w.pollAddr(w.nextNodeAddr(), id) }

// PollAt is like Poll, but sends the request to a given node.
func (w *World) PollAt(i int, id string) string { return w.pollAddr(w.Nodes[i].addr, id) }

// pollAddr requests a job's state once from an address.
func (w *World) pollAddr(at, id string) string {
	before := w.checker.LastObserved(id)
	status, b := w.request(http.MethodGet, at, wire.JobsPath+"/"+id, nil, 2*time.Second)
	return w.noteAnswer(id, status, b, before)
}

// noteAnswer passes an answer about a job to the checker and returns the state that the user is
// told, as Poll does. before is what had been observed when the request was sent.
func (w *World) noteAnswer(id string, status int, body []byte, before ObservedState) string {
	var s wire.JobState
	switch {
	case (status == http.StatusOK || status == http.StatusCreated) && wire.Unmarshal(body, &s) == nil:
		w.checker.noteState(id, s.State, before)
		return s.State
	case status == http.StatusNotFound:
		w.checker.noteState(id, "unknown", before)
		return "unknown"
	}
	w.checker.noteUnanswered(id)
	return ""
}

// Resubmit submits a job again to one node, with another body if one is given, and returns the
// response's status and the state that the user is told.
func (w *World) Resubmit(i int, id string, body any) (int, string) {
	if body == nil {
		body = w.spec(id)
	}
	before := w.checker.LastObserved(id)
	b, _ := wire.Marshal(body)
	status, answer := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath, b, 5*time.Second)
	if before.accepted && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		w.checker.JobRefused(id, status)
	}
	if status == http.StatusCreated && before.accepted {
		w.checker.acceptedTwice(id)
	}
	return status, w.noteAnswer(id, status, answer, before)
}

// CancelAt sends one request to cancel a job to one node, and returns the state that the user is
// told.
func (w *World) CancelAt(i int, id string) string {
	w.checker.CancelRequested(id)
	before := w.checker.LastObserved(id)
	status, b := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
	return w.noteAnswer(id, status, b, before)
}

// SendReportCopy sends a copy of a worker's report to a node and returns the response's status. The
// worker does not get the response.
func (w *World) SendReportCopy(i int, body []byte) int {
	status, _ := w.request(http.MethodPost, w.Nodes[i].addr, wire.ReportPath, body, 4*time.Second)
	return status
}

// AwaitState polls until the job is in the state, and reports whether it was within the time.
func (w *World) AwaitState(id, state string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		switch w.Poll(id) {
		case state:
			return true
		case "aborted":
			return false // cancelled: the state is final
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel cancels a job as a user does, with retries for 60 s, and returns its state, or "" if no
// request was answered.
func (w *World) Cancel(id string) string {
	w.checker.CancelRequested(id)
	before := w.checker.LastObserved(id)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		status, b := w.request(http.MethodPost, w.nextNodeAddr(), wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
		if state := w.noteAnswer(id, status, b, before); state != "" && state != "unknown" {
			return state
		}
		time.Sleep(time.Second)
	}
	return ""
}

// OnUserState sets a function that is called right after a user was told that a job is accepted,
// done or cancelled. nil removes it.
func (w *World) OnUserState(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onUserState = f
}

// OnLastTaskDone sets a function that is called when the last task of a job is done. nil removes
// it.
func (w *World) OnLastTaskDone(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onLastTaskDone = f
}

// notifyUserState calls the function that OnUserState set.
func (w *World) notifyUserState(id string) { w.notify(&w.onUserState, id) }

// notifyLastTaskDone calls the function that OnLastTaskDone set.
func (w *World) notifyLastTaskDone(id string) { w.notify(&w.onLastTaskDone, id) }

// notify calls a function of the world's, if it is set.
func (w *World) notify(function *func(id string), id string) {
	w.mu.Lock()
	f := *function
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
}

// AddAccepted adds a job that users were told is accepted before the world began.
func (w *World) AddAccepted(s Spec) {
	w.mu.Lock()
	w.specs[s.ID] = &s
	w.mu.Unlock()
	w.checker.JobAccepted(s.ID)
}
