// Package deliver sends notifications to receivers: CloudEvents 1.0 in JSON over
// HTTP, or a body of the operators' own, signed, within limits for each receiver.
// It says what became of an attempt in the outbox's terms; what is sent when is
// decided there.
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

// Header names of a delivery.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderToken          = "Aspenstall-Token"     // of the leader's term: a receiver may refuse a lower one than it has seen
	HeaderTimestamp      = "Aspenstall-Timestamp" // seconds since 1970
	HeaderSignature      = "Aspenstall-Signature" // "v1=" and a MAC in hexadecimal for each valid secret, with commas between
)

const (
	maxResponseBytes = 4 << 10 // of a receiver's answer is read
	maxBodyBytes     = 64 << 10
	maxRetryAfter    = time.Hour // a receiver's Retry-After counts up to this
	breakerThreshold = 5         // failures in a row
	breakerTimeout   = 30 * time.Second
	defaultTimeout   = 10 * time.Second
)

// Receiver is how one receiver is reached.
type Receiver struct {
	Name string
	URL  string
	// Ask is where it is asked whether it has seen a key, for one that keeps none:
	// it answers 200 for a key that it has seen, and 404.
	LookupURL    string
	Secrets      [][]byte           // the first signs; both do while one is being replaced
	BodyTemplate *template.Template // of a Message; nil for CloudEvents
	ContentType  string             // the body's content type, with Body
	TLS          *tls.Config
	Timeout      time.Duration // of an attempt; 0: 10 s
}

// Message is what a body is made of. It is the same in every attempt.
type Message struct {
	Key, Kind, Job, Team, Class string
	Time                        time.Time
}

// ParseBody reads a template and tries it, so that a mistake shows when the
// settings are read and not when something has happened.
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

// Sender delivers to one receiver.
type Sender struct {
	receiver Receiver
	client   *http.Client
	breaker  *gobreaker.CircuitBreaker[result]
}

// result is what became of an attempt.
type result struct {
	outcome    notify.Outcome
	retryAfter time.Duration
}

// New returns a sender; connections are made with dial.
func New(r Receiver, dial netdial.Func) *Sender {
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	s := &Sender{receiver: r, client: &http.Client{
		Transport: &http.Transport{
			DialContext: dial, TLSClientConfig: r.TLS, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
			MaxResponseHeaderBytes: 16 << 10, DisableCompression: true,
		},
		// Whoever a redirect leads to is not in the settings.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	s.breaker = gobreaker.NewCircuitBreaker[result](gobreaker.Settings{
		Name: r.Name, Timeout: breakerTimeout, MaxRequests: 1,
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerThreshold },
	})
	return s
}

// errAttempt tells the breaker that an attempt failed.
var errAttemptFailed = errors.New("attempt failed")

// Send makes one attempt, under the leader's token, and says what became of it
// and when the receiver wants to be asked again, 0 if it does not say. It
// returns before ctx ends or soon after.
func (s *Sender) Send(ctx context.Context, send notify.Send, token uint64) (notify.Outcome, core.Micros) {
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
		res := s.post(ctx, send, token)
		if res.outcome == notify.Delivered || res.outcome == notify.Rejected {
			return res, nil // the receiver is well
		}
		return res, errAttemptFailed
	})
	if err != nil && !errors.Is(err, errAttemptFailed) {
		return notify.NotDelivered, core.Micros(breakerTimeout / time.Microsecond / 4) // the breaker is open
	}
	return res.outcome, core.Micros(min(res.retryAfter, maxRetryAfter) / time.Microsecond)
}

// ask asks the receiver whether it has seen a key; a result if it does not say.
func (s *Sender) lookUpKey(ctx context.Context, key string) (seen bool, res *result) {
	u, err := url.Parse(s.receiver.LookupURL)
	if err != nil {
		return false, &result{outcome: notify.NotDelivered}
	}
	q := u.Query()
	q.Set("key", key)
	u.RawQuery = q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false, &result{outcome: notify.NotDelivered}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false, &result{outcome: notify.NotDelivered}
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxResponseBytes)
	switch resp.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	}
	return false, &result{notify.NotDelivered, parseRetryAfter(resp)}
}

func (s *Sender) post(ctx context.Context, send notify.Send, token uint64) result {
	body, contentType, err := s.body(send)
	if err != nil {
		return result{outcome: notify.Rejected} // it is the same each time
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.receiver.URL, bytes.NewReader(body))
	if err != nil {
		return result{outcome: notify.NotDelivered}
	}
	timestamp := strconv.FormatInt(time.Now().Unix(), 10)
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
			return result{outcome: notify.NotDelivered} // there was no connection
		}
		return result{outcome: notify.Unknown}
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, maxResponseBytes)
	return result{outcomeOfStatus(resp.StatusCode), parseRetryAfter(resp)}
}

// outcome reads a receiver's answer.
func outcomeOfStatus(status int) notify.Outcome {
	switch {
	case status/100 == 2:
		return notify.Delivered
	case status == http.StatusBadRequest, status == http.StatusGone, status == http.StatusRequestEntityTooLarge,
		status == http.StatusUnsupportedMediaType, status == http.StatusUnprocessableEntity:
		return notify.Rejected
	case status/100 == 3, status/100 == 4:
		// Not taken, for now: a limit, or something that its operators can mend.
		return notify.NotDelivered
	}
	return notify.Unknown // it may have had its effect before something failed
}

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

// body is what is sent; it does not differ between attempts.
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
		return nil, "", fmt.Errorf("a body of %d bytes", b.Len())
	}
	return b.Bytes(), s.receiver.ContentType, nil
}

// cloudEvent is a message as CloudEvents 1.0 has it.
func cloudEvent(m *Message) map[string]any {
	return map[string]any{
		"specversion": "1.0", "id": m.Key, "source": "/aspenstall/" + url.PathEscape(m.Team), "type": "aspenstall.job." + m.Kind,
		"subject": m.Job, "time": m.Time.Format(time.RFC3339Nano), "datacontenttype": "application/json",
		"data": map[string]string{"job": m.Job, "team": m.Team, "class": m.Class, "kind": m.Kind},
	}
}

// Sign is the MAC (HMAC-SHA256) of a delivery with one secret, in hexadecimal.
func Sign(secret []byte, timestamp, token, key string, body []byte) string {
	h := hmac.New(sha256.New, secret)
	fmt.Fprintf(h, "%s.%s.%s.", timestamp, token, key)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Verify is the receiver's side: it reports whether a delivery is signed with
// the secret and was sent within maxAge of now.
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
