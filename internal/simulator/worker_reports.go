package simulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"aspenstall/internal/wire"
)

// reportSoon makes the worker report before the usual interval is over.
func (k *Worker) reportSoon() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// watchLease ends the worker's session exactly when its lease has passed since the last
// acknowledged report was sent. Controllers rely on that time.
func (k *Worker) watchLease(ctx context.Context) {
	t := time.NewTimer(k.env.Timing().Lease)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		k.mu.Lock()
		if time.Since(k.lastAcknowledged) >= k.env.Timing().Lease && !k.dead {
			k.noteLeaseExpired()
			k.dropTasks()
			k.session++
			clear(k.forgotten)
			k.lastAcknowledged = time.Now()
			k.reportSoon()
		}
		t.Reset(time.Until(k.lastAcknowledged.Add(k.env.Timing().Lease)))
		k.mu.Unlock()
	}
}

// noteLeaseExpired tells the observer that the lease is over; k.mu is held.
func (k *Worker) noteLeaseExpired() {
	var on []TaskOnMachine
	for _, t := range k.tasks {
		if t.onMachine {
			on = append(on, k.taskOnMachine(t))
		}
	}
	k.env.Observer().LeaseExpired(k.Info(), k.session, on)
}

// encodeReport returns the current report, encoded, with the next sequence number; k.mu is held.
func (k *Worker) encodeReport() []byte {
	k.seq++
	b, _ := wire.Marshal(&statusReport{
		Machine: k.name, Address: k.address, Type: k.machineType.Name, Zone: k.zone, Spot: k.spot,
		Session: k.session, Seq: k.seq, Token: k.token, SpotNotice: k.spotNotice, Tasks: k.tasks,
	})
	return b
}

// reportLoop sends reports. It tries the nodes in turn, or the one that a node names as the leader,
// until one accepts the report.
func (k *Worker) reportLoop(ctx context.Context) {
	client := k.env.Client(k.address)
	current := 0
	for ctx.Err() == nil {
		nodes := k.env.Controllers()
		k.mu.Lock()
		body := k.encodeReport()
		session := k.session
		k.mu.Unlock()
		sent := time.Now()
		status, answer := k.postReport(ctx, client, nodes[current%len(nodes)].Address, body)
		pause := k.env.Timing().ReportInterval()
		switch status {
		case http.StatusOK:
			var o commandBatch
			if wire.Unmarshal(answer, &o) == nil {
				k.mu.Lock()
				if session == k.session && o.Token >= k.token && o.Token > 0 {
					k.token = o.Token
					k.lastAcknowledged = sent
					k.execute(o.Commands)
				}
				k.mu.Unlock()
			}
		case http.StatusMisdirectedRequest:
			var r struct {
				Node string `msgpack:"foreman"`
			}
			_ = wire.Unmarshal(answer, &r)
			current++
			pause = time.Second
			for i := range nodes {
				if nodes[i].Name == r.Node && i != (current-1)%len(nodes) {
					current, pause = i, 100*time.Millisecond
				}
			}
		default:
			current++
			pause = time.Second
		}
		if time.Since(sent) < 500*time.Millisecond {
			pause = max(pause, 100*time.Millisecond)
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-k.wake:
			time.Sleep(max(0, 500*time.Millisecond-time.Since(sent)))
		}
		t.Stop()
	}
}

// postReport sends a report to a node and returns the response's status and body; the status is 0
// if there was no response.
func (k *Worker) postReport(ctx context.Context, c *http.Client, at string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	if k.isOutboundLost() {
		<-ctx.Done()
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+wire.ReportPath, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	status, b := Exchange(c, req)
	if status != 0 && k.isInboundLost() {
		<-ctx.Done()
		return 0, nil
	}
	return status, b
}

// Exchange sends a request and reads the whole response; the status is 0 if there is none.
func Exchange(c *http.Client, req *http.Request) (status int, body []byte) {
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}
