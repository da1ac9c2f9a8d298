// Package deliver sends notifications to receivers over HTTP, as CloudEvents 1.0 in JSON or with a
// body from the operators' template. Requests are signed, and each receiver has a circuit breaker.
// Package notify decides what is sent when; this package reports the outcome of each attempt.
package deliver

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/template"
	"time"

	"github.com/sony/gobreaker/v2"

	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/notify"
)

// Names of the HTTP headers of a delivery.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderToken has the leader's fencing token. A receiver may reject a lower token than it has
	// seen before.
	HeaderToken     = "Aspenstall-Token"
	HeaderTimestamp = "Aspenstall-Timestamp" // seconds since 1970
	// HeaderSignature has, for each valid secret, "v1=" and a MAC in hexadecimal, separated by
	// commas.
	HeaderSignature = "Aspenstall-Signature"
)

const (
	maxResponseBytes = 4 << 10          // read of a response body
	maxBodyBytes     = 64 << 10         // of a request
	maxRetryAfter    = time.Hour        // a longer Retry-After of a receiver is cut to this
	breakerThreshold = 5                // consecutive failures that open the breaker
	breakerTimeout   = 30 * time.Second // until the open breaker lets an attempt through
	defaultTimeout   = 10 * time.Second // of an attempt
)

// Receiver holds the settings for reaching one receiver.
type Receiver struct {
	Name string
	URL  string
	// LookupURL is set for a receiver that does not deduplicate. A GET with the query
	// parameter key must return 200 if the receiver has received the key, and 404 if not.
	LookupURL    string
	Secrets      [][]byte           // each adds a signature; there are two while one is being replaced
	BodyTemplate *template.Template // executed with a Message; nil for CloudEvents
	ContentType  string             // of the body, if BodyTemplate is set
	TLS          *tls.Config
	Timeout      time.Duration // of an attempt; 0 means 10 s
}

// Message is the data of a notification's body. It is the same in all attempts. Its field names
// are used in the operators' templates.
type Message struct {
	Key, Kind, Job, Team, Class string
	Time                        time.Time
}

// ParseBody parses a body template and executes it once, so that errors are reported when the
// settings are read and not at the first event.
func ParseBody(name, text string) (*template.Template, error) {
	t, err := template.New(name).Option("missingkey=error").Funcs(template.FuncMap{"json": func(v any) (string, error) {
		b, err := json.Marshal(v)
		return string(b), err
	}}).Parse(text)
	if err != nil {
		return nil, err
	}
	return t, t.Execute(io.Discard, &Message{Key: "0", Kind: "done", Job: "job-000000", Team: "team", Class: "class"})
}

// Sender delivers notifications to one receiver.
type Sender struct {
	receiver Receiver
	client   *http.Client
	breaker  *gobreaker.CircuitBreaker[result]
}

// result is the result of an attempt.
type result struct {
	outcome    notify.Outcome
	retryAfter time.Duration // as the receiver requested, or 0
}

// New returns a sender that opens connections with dial.
func New(r Receiver, dial netdial.Func) *Sender {
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	s := &Sender{receiver: r, client: &http.Client{
		Transport: &http.Transport{
			DialContext: dial, TLSClientConfig: r.TLS, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
			MaxResponseHeaderBytes: 16 << 10, DisableCompression: true,
		},
		// Redirects are not followed: their targets are not in the settings.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	s.breaker = gobreaker.NewCircuitBreaker[result](gobreaker.Settings{
		Name: r.Name, Timeout: breakerTimeout, MaxRequests: 1,
		IsExcluded:  func(err error) bool { return errors.Is(err, errNotLeading) },
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerThreshold },
	})
	return s
}

// Errors for the breaker.
var (
	// errAttemptFailed reports a failed attempt.
	errAttemptFailed = errors.New("attempt failed")
	// errNotLeading means that no attempt was made. It says nothing about the receiver.
	errNotLeading = errors.New("this node does not lead")
)

// Send makes one delivery attempt with the leader's fencing token. It returns the outcome and the
// delay that the receiver requested before the next attempt, or 0. If the key lookup fails, or this
// node does not lead any more, it returns NotAttempted; with an open breaker as well, with a quarter
// of the breaker's timeout as the delay. It returns shortly after ctx ends at the latest.
//
// leading reports whether this node leads with the term that decided to send, and its lease is
// certainly valid. It is called after the key
// lookup and after the request's timestamp was taken, and nothing is sent if it returns false. So
// the timestamp is of a time at which this node led: however long the process pauses before the
// request goes out, the receiver rejects it once the next leader may send.
func (s *Sender) Send(ctx context.Context, send notify.Send, token uint64, leading func() bool) (notify.Outcome, core.Micros) {
	ctx, cancel := context.WithTimeout(ctx, s.receiver.Timeout)
	defer cancel()
	res, err := s.breaker.Execute(func() (result, error) {
		if s.receiver.LookupURL != "" && send.PossiblyDelivered {
			switch seen, res := s.lookUpKey(ctx, send.Key); {
			case res != nil:
				return *res, errAttemptFailed
			case seen:
				return result{outcome: notify.Delivered}, nil
			}
		}
		sentAt := time.Now() // before the check of the lease
		if !leading() {
			return result{outcome: notify.NotAttempted}, errNotLeading
		}
		res := s.post(ctx, send, token, sentAt)
		if res.outcome == notify.Delivered || res.outcome == notify.Rejected {
			return res, nil // the receiver works
		}
		return res, errAttemptFailed
	})
	if err != nil && !errors.Is(err, errAttemptFailed) && !errors.Is(err, errNotLeading) {
		return notify.NotAttempted, core.Micros(breakerTimeout / time.Microsecond / 4) // the breaker is open
	}
	return res.outcome, core.Micros(min(res.retryAfter, maxRetryAfter) / time.Microsecond)
}

// lookUpKey queries the receiver whether it has received a key. res is the result of the attempt
// if the query failed, otherwise nil.
func (s *Sender) lookUpKey(ctx context.Context, key string) (seen bool, res *result) {
	u, err := url.Parse(s.receiver.LookupURL)
	if err != nil {
		return false, &result{outcome: notify.NotAttempted}
	}
	q := u.Query()
	q.Set("key", key)
	u.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false, &result{outcome: notify.NotAttempted}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false, &result{outcome: notify.NotAttempted}
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxResponseBytes)
	switch resp.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	}
	return false, &result{notify.NotAttempted, parseRetryAfter(resp)}
}

// post sends a notification in at most one request, with the time sentAt, and returns the result.
func (s *Sender) post(ctx context.Context, send notify.Send, token uint64, sentAt time.Time) result {
	body, contentType, err := s.body(send)
	if err != nil {
		return result{outcome: notify.Rejected} // a retry would fail in the same way
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.receiver.URL, bytes.NewReader(body))
	if err != nil {
		return result{outcome: notify.NotDelivered}
	}
	// http.Transport repeats a request with an Idempotency-Key by itself when a reused connection
	// ends before the response, unless it can't get the body again (net/http, type Transport). Only
	// the outbox may repeat a notification: it asks the receiver first where that is needed.
	req.GetBody = nil
	timestamp := strconv.FormatInt(sentAt.Unix(), 10)
	req.Header.Set("Content-Type", contentType)
	req.Header.Set(HeaderIdempotencyKey, send.Key)
	req.Header.Set(HeaderToken, strconv.FormatUint(token, 10))
	req.Header.Set(HeaderTimestamp, timestamp)
	if len(s.receiver.Secrets) > 0 {
		var macs []string
		for _, secret := range s.receiver.Secrets {
			macs = append(macs, "v1="+Sign(secret, timestamp, req.Header.Get(HeaderToken), send.Key, body))
		}
		req.Header.Set(HeaderSignature, strings.Join(macs, ","))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return result{outcome: notify.NotDelivered} // no connection was established
		}
		return result{outcome: notify.Unknown}
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxResponseBytes)
	return result{outcomeOfStatus(resp.StatusCode), parseRetryAfter(resp)}
}

// outcomeOfStatus returns the outcome that the status code of a response stands for.
func outcomeOfStatus(status int) notify.Outcome {
	switch {
	case status/100 == 2:
		return notify.Delivered
	case status == http.StatusBadRequest, status == http.StatusGone, status == http.StatusRequestEntityTooLarge,
		status == http.StatusUnsupportedMediaType, status == http.StatusUnprocessableEntity:
		return notify.Rejected
	case status/100 == 3, status/100 == 4:
		// Refused temporarily: a rate limit, or a fault that the receiver's operators can correct.
		return notify.NotDelivered
	}
	return notify.Unknown // the request may have taken effect before the failure
}

// parseRetryAfter returns the delay in the Retry-After header of a response, in seconds or as a
// date, or 0.
func parseRetryAfter(resp *http.Response) time.Duration {
	v := resp.Header.Get("Retry-After")
	if n, err := strconv.Atoi(v); err == nil && n > 0 {
		return time.Duration(min(n, int(maxRetryAfter/time.Second))) * time.Second
	}
	if at, err := http.ParseTime(v); err == nil {
		return max(time.Until(at), 0)
	}
	return 0
}

// body returns the request body and its content type. They are the same in all attempts.
func (s *Sender) body(send notify.Send) ([]byte, string, error) {
	m := &Message{
		Key: send.Key, Kind: send.Event.Kind.String(), Job: send.Event.Job, Team: send.Event.Team, Class: send.Event.Class,
		Time: time.UnixMicro(int64(send.Event.At)).UTC(),
	}
	if s.receiver.BodyTemplate == nil {
		b, err := json.Marshal(cloudEvent(m))
		return b, "application/cloudevents+json", err
	}
	var b bytes.Buffer
	if err := s.receiver.BodyTemplate.Execute(&b, m); err != nil {
		return nil, "", err
	}
	if b.Len() > maxBodyBytes {
		return nil, "", fmt.Errorf("body of %d bytes is over the limit", b.Len())
	}
	return b.Bytes(), s.receiver.ContentType, nil
}

// cloudEvent returns a message as a CloudEvents 1.0 event.
func cloudEvent(m *Message) map[string]any {
	return map[string]any{
		"specversion": "1.0", "id": m.Key, "source": "/aspenstall/" + url.PathEscape(m.Team), "type": "aspenstall.job." + m.Kind,
		"subject": m.Job, "time": m.Time.Format(time.RFC3339Nano), "datacontenttype": "application/json",
		"data": map[string]string{"job": m.Job, "team": m.Team, "class": m.Class, "kind": m.Kind},
	}
}

// Sign returns the MAC (HMAC-SHA256) of a delivery with one secret, in hexadecimal.
func Sign(secret []byte, timestamp, token, key string, body []byte) string {
	h := hmac.New(sha256.New, secret)
	fmt.Fprintf(h, "%s.%s.%s.", timestamp, token, key)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Verify is for receivers: it reports whether a delivery is signed with the secret and its
// timestamp is within maxAge of now.
func Verify(secret []byte, h http.Header, body []byte, now time.Time, maxAge time.Duration) bool {
	timestamp := h.Get(HeaderTimestamp)
	sec, err := strconv.ParseInt(timestamp, 10, 64)
	if age := now.Sub(time.Unix(sec, 0)); err != nil || age > maxAge || age < -maxAge {
		return false
	}
	want := []byte(Sign(secret, timestamp, h.Get(HeaderToken), h.Get(HeaderIdempotencyKey), body))
	valid := false
	for _, s := range strings.Split(h.Get(HeaderSignature), ",") {
		mac, ok := strings.CutPrefix(strings.TrimSpace(s), "v1=")
		valid = ok && hmac.Equal([]byte(mac), want) || valid
	}
	return valid
}
