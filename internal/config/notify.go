package config

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"olympos.io/encoding/edn"

	"aspenstall/internal/core"
	"aspenstall/internal/ednmap"
	"aspenstall/internal/notify"
	"aspenstall/internal/notify/deliver"
)

// Notify holds the settings of notifications.
type Notify struct {
	Listen        string                // loopback address and port of the operators' interface; "" for none
	Subscriptions []notify.Subscription // sorted by name
	Receivers     []NotifyReceiver      // sorted by name
}

// NotifyReceiver is a receiver of notifications: its limits in the outbox, and how to reach it.
type NotifyReceiver struct {
	Limits    notify.Receiver
	Delivery  deliver.Receiver
	KeepsKeys bool // it stores the keys of notifications, and so drops duplicates
}

// notifySettings returns a parser for the settings of notifications. Relative paths are resolved
// against dir.
func notifySettings(dir string, to **Notify) ednmap.Parser {
	return func(b edn.RawMessage) error {
		n := &Notify{}
		var receivers, subs map[string]edn.RawMessage
		if err := ednmap.ParseMap(b, map[string]ednmap.Parser{"listen": loopback(&n.Listen), "receivers": rawMap(&receivers), "subscriptions": rawMap(&subs)}); err != nil {
			return err
		}
		for _, name := range slices.Sorted(maps.Keys(receivers)) {
			r, err := readReceiver(dir, name, receivers[name])
			if err != nil {
				return fmt.Errorf(":receivers: %q: %w", name, err)
			}
			n.Receivers = append(n.Receivers, r)
		}
		for _, name := range slices.Sorted(maps.Keys(subs)) {
			s, err := readSubscription(name, subs[name], n.Receivers)
			if err != nil {
				return fmt.Errorf(":subscriptions: %q: %w", name, err)
			}
			n.Subscriptions = append(n.Subscriptions, s)
		}
		*to = n
		return nil
	}
}

// loopback returns a parser for a loopback address and port. The interface behind it doesn't
// authenticate: any process that can connect has an operator's rights.
func loopback(to *string) ednmap.Parser {
	return func(b edn.RawMessage) error {
		if err := ednmap.String(to)(b); err != nil {
			return err
		}
		if err := checkAddress("", *to); err != nil {
			return err
		}
		if host, _, _ := net.SplitHostPort(*to); !net.ParseIP(host).IsLoopback() {
			return fmt.Errorf("%q: want a loopback address: any process that can connect has an operator's rights", *to)
		}
		return nil
	}
}

// rawMap returns a parser for a map from names to settings, which stay encoded.
func rawMap(to *map[string]edn.RawMessage) ednmap.Parser {
	return func(b edn.RawMessage) error {
		if err := edn.Unmarshal(b, to); err != nil {
			return errors.New("want a map from names to settings")
		}
		for name := range *to {
			// The name occurs in keys of the state service and in logs.
			if name == "" || len(name) > 40 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
				return fmt.Errorf("%q: want a name of at most 40 small letters, digits and dashes", name)
			}
		}
		return nil
	}
}

// readReceiver parses a receiver's settings and reads the files that they name.
func readReceiver(dir, name string, b edn.RawMessage) (NotifyReceiver, error) {
	r := NotifyReceiver{Limits: notify.Receiver{Name: name, MaxInFlight: 4}, Delivery: deliver.Receiver{Name: name}}
	var timeout, maxAge float64
	var secrets []string
	var body, ca, cert, key string
	err := ednmap.ParseMap(b, map[string]ednmap.Parser{
		"url": ednmap.String(&r.Delivery.URL), "keeps-keys": boolean(&r.KeepsKeys), "ask-url": ednmap.String(&r.Delivery.LookupURL), "max-age-s": ednmap.Number(1, 86400, &maxAge),
		"per-s": ednmap.Number(0.01, 10_000, &r.Limits.PerSecond), "in-flight": ednmap.Integer(1, 1000, &r.Limits.MaxInFlight), "timeout-s": ednmap.Number(0.1, 300, &timeout),
		"secret-files": ednmap.Strings(&secrets), "body-file": ednmap.String(&body), "content-type": ednmap.String(&r.Delivery.ContentType),
		"ca-file": ednmap.String(&ca), "cert-file": ednmap.String(&cert), "key-file": ednmap.String(&key),
	})
	if err != nil {
		return r, err
	}
	for _, u := range []struct {
		name, url string
		needed    bool
	}{{":url", r.Delivery.URL, true}, {":ask-url", r.Delivery.LookupURL, false}} {
		if p, err := url.Parse(u.url); u.needed && u.url == "" || u.url != "" && (err != nil || p.Host == "" || p.Scheme != "http" && p.Scheme != "https") {
			return r, fmt.Errorf("%s: want an http or https URL, not %q", u.name, u.url)
		}
	}
	if (r.Delivery.LookupURL == "") != (maxAge == 0) {
		return r, errors.New(":ask-url and :max-age-s go together: the receiver has to refuse notifications older than :max-age-s")
	}
	r.Limits.MaxMessageAge, r.Delivery.Timeout = core.Seconds(maxAge), time.Duration(timeout*float64(time.Second))
	if len(secrets) > 2 {
		return r, errors.New(":secret-files: want one, or two while one is being replaced")
	}
	read := func(path string) ([]byte, error) { return readRelative(dir, path) }
	for _, path := range secrets {
		s, err := read(path)
		if err == nil {
			s, err = TokenKey(path, s)
		}
		if err != nil {
			return r, err
		}
		r.Delivery.Secrets = append(r.Delivery.Secrets, s)
	}
	if (body == "") != (r.Delivery.ContentType == "") {
		return r, errors.New(":body-file and :content-type go together")
	}
	if body != "" {
		t, err := read(body)
		if err != nil {
			return r, err
		}
		if r.Delivery.BodyTemplate, err = deliver.ParseBody(body, string(t)); err != nil {
			return r, fmt.Errorf(":body-file: %w", err)
		}
	}
	r.Delivery.TLS, err = clientTLS(read, ca, cert, key)
	return r, err
}

// clientTLS reads the root certificates and the client certificate for a receiver. It returns nil
// if neither is set.
func clientTLS(read func(string) ([]byte, error), ca, cert, key string) (*tls.Config, error) {
	if (cert == "") != (key == "") {
		return nil, errors.New(":cert-file and :key-file go together")
	}
	if ca == "" && cert == "" {
		return nil, nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca != "" {
		caPEM, err := read(ca)
		if err != nil {
			return nil, err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(caPEM) {
			return nil, fmt.Errorf("%s: holds no certificate", ca)
		}
	}
	if cert != "" {
		certPEM, err := read(cert)
		if err != nil {
			return nil, err
		}
		keyPEM, err := read(key)
		if err != nil {
			return nil, err
		}
		pair, err := tls.X509KeyPair(certPEM, keyPEM)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", cert, err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}

// promisesByName are the delivery guarantees that a subscription may set.
var promisesByName = map[string]notify.DeliveryGuarantee{"exactly": notify.ExactlyOnce, "at-least": notify.AtLeastOnce, "at-most": notify.AtMostOnce}

// allowedKinds are the events that a subscription may name: those that are written together with
// a record.
var allowedKinds = []notify.Kind{notify.Accepted, notify.Done, notify.Cancelled}

// readSubscription parses a subscription's settings. The defaults are a deadline of a day and
// exactly-once delivery, which needs a receiver that keeps keys or can be asked.
func readSubscription(name string, b edn.RawMessage, receivers []NotifyReceiver) (notify.Subscription, error) {
	s := notify.Subscription{Name: name}
	deadline := 86400.0
	var events []string
	promise := "exactly"
	err := ednmap.ParseMap(b, map[string]ednmap.Parser{
		"team": ednmap.String(&s.Team), "class": ednmap.String(&s.Class), "receiver": ednmap.String(&s.Receiver), "deadline-s": ednmap.Number(1, 30*86400, &deadline),
		"events": keywords(&events), "promise": keyword(&promise),
	})
	if err != nil {
		return s, err
	}
	s.Deadline = core.Seconds(deadline)
	for _, e := range events {
		k, ok := notify.ParseKind(e)
		if !ok || !slices.Contains(allowedKinds, k) {
			return s, fmt.Errorf(":events: want :accepted, :done and :cancelled, not :%s", e)
		}
		s.Kinds = append(s.Kinds, k)
	}
	if len(events) == 0 {
		return s, errors.New(":events: none")
	}
	i := slices.IndexFunc(receivers, func(r NotifyReceiver) bool { return r.Limits.Name == s.Receiver })
	if i < 0 {
		return s, fmt.Errorf(":receiver: there is no receiver %q", s.Receiver)
	}
	p, ok := promisesByName[promise]
	if !ok {
		return s, fmt.Errorf(":promise: want :exactly, :at-least or :at-most, not :%s", promise)
	}
	if r := receivers[i]; p == notify.ExactlyOnce && !r.KeepsKeys && r.Delivery.LookupURL == "" {
		return s, fmt.Errorf(":promise: receiver %q neither keeps keys nor can be asked, so that :exactly cannot be promised; choose :at-least or :at-most", s.Receiver)
	}
	s.DeliveryGuarantee = p
	return s, nil
}

// boolean returns a parser for true or false.
func boolean(to *bool) ednmap.Parser {
	return func(b edn.RawMessage) error {
		if err := edn.Unmarshal(b, to); err != nil {
			return fmt.Errorf("want true or false, not %s", bytes.TrimSpace(b))
		}
		return nil
	}
}

// keyword returns a parser for a keyword.
func keyword(to *string) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var k edn.Keyword
		if err := edn.Unmarshal(b, &k); err != nil {
			return fmt.Errorf("want a keyword, not %s", bytes.TrimSpace(b))
		}
		*to = string(k)
		return nil
	}
}

// keywords returns a parser for a list of keywords.
func keywords(to *[]string) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var ks []edn.Keyword
		if err := edn.Unmarshal(b, &ks); err != nil {
			return fmt.Errorf("want a list of keywords, not %s", bytes.TrimSpace(b))
		}
		*to = nil
		for _, k := range ks {
			*to = append(*to, string(k))
		}
		return nil
	}
}
