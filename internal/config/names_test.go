package config

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"maps"
	"math/big"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"olympos.io/encoding/edn"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/ednmap"
	"aspenstall/internal/notify"
	"aspenstall/internal/notify/deliver"
)

// allSet checks that every field of v is set.
func allSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			allSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
			return
		}
		allSet(t, path+"[0]", v.Index(0))
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s is not set", path)
			return
		}
		if v.Type().Elem().PkgPath() == "" || v.Type().Elem().PkgPath() == reflect.TypeFor[Settings]().PkgPath() {
			allSet(t, path, v.Elem())
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is not set", path)
		}
	}
}

// TestPlatformNames checks that every field of the platform's file is read and written by its name.
func TestPlatformNames(t *testing.T) {
	const path = "testdata/platform.json"
	got, err := LoadPlatform(path)
	if err != nil {
		t.Fatal(err)
	}
	allSet(t, "platform", reflect.ValueOf(*got))
	var want Platform
	want.Member, want.Zone, want.Listen, want.ClusterListen = "n0", "a", "10.0.0.1:1", "10.0.0.2:2"
	want.Peers = []Peer{{Member: "n1", Zone: "b", Endpoint: "10.0.0.3:3"}}
	want.Services.Cloud, want.Services.State = "10.0.0.4:4", "10.0.0.5:5"
	p := &want.Params
	p.Zones = []string{"c"}
	p.Teams = []Team{{Name: "blue", CPUs: 6.5, CPUsMax: 7.5, GPUs: 8.5, GPUsMax: 9.5}}
	p.Objectives = []Objective{{Kind: "wait", Class: "train", Share: 0.5, Times: 10.5, WithinS: 11.5}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.GangWaitS, p.Workers.GangPeerS, p.Workers.CancelS = 12.5, 13.5, 14.5, 15.5, 16.5
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 17.5, 18.5, 19.5, 20
	p.State.Next = &NextLimits{ValueKB: 21.5, TxnOps: 22, WriteRPS: 22.5}
	p.Cloud.RPS, p.Cloud.ListLagS = 23.5, 24.5
	p.Limits.CPU, p.Limits.MemMB, p.Limits.MaxConnections = 25.5, 26.5, 27
	p.SkewMS = 28.5
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, want %+v", *got, want)
	}
	b, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := json.Compact(&text, file); err != nil || text.String() != string(b) {
		t.Errorf("written again\n%s, want\n%s", b, text.String())
	}
}

// writeCertificate writes a self-signed certificate, as root and as client certificate, and its
// key.
func writeCertificate(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	priv, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string]*pem.Block{
		"ca.pem": {Type: "CERTIFICATE", Bytes: der}, "cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: priv},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSettingsNames checks that every setting is read by its name.
func TestSettingsNames(t *testing.T) {
	dir := t.TempDir()
	writeCertificate(t, dir)
	text, err := os.ReadFile("testdata/settings.sexp")
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string]string{
		"settings": string(text), "key": "sixteen bytes, and more", "key2": "sixteen other bytes", "body": "{{.Key}} {{.Kind}} {{.Job}} {{.Team}} {{.Class}} {{.Time}}",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := LoadSettings(filepath.Join(dir, "settings"))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []any{got, got.Notify.Receivers[0].Limits, got.Notify.Receivers[0].Delivery} {
		v := reflect.ValueOf(v)
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%v.%s is not set", v.Type(), v.Type().Field(i).Name)
			}
		}
	}
	allSet(t, "nomad", reflect.ValueOf(*got.Nomad))
	reach := &got.Notify.Receivers[0].Delivery
	if reach.TLS.RootCAs == nil || len(reach.TLS.Certificates) != 1 {
		t.Errorf("got %+v", reach.TLS)
	}
	var body strings.Builder
	message := deliver.Message{Key: "k", Kind: "done", Job: "job-1", Team: "t", Class: "c", Time: time.Unix(0, 0).UTC()}
	if err := reach.BodyTemplate.Execute(&body, message); err != nil || body.String() != "k done job-1 t c 1970-01-01 00:00:00 +0000 UTC" {
		t.Errorf("body %q, %v", body.String(), err)
	}
	reach.TLS, reach.BodyTemplate = nil, nil
	hash := func(b byte) Hash { return Hash(bytes.Repeat([]byte{b}, 32)) }
	want := Settings{
		LeaderLeaseS: 1.5, AnswerGraceS: 2.5, IdleReturnS: 3.5, RefusalPauseS: 4.5, HoldS: 5.5, QuarantineS: 6.5, SuspectS: 7.5, SpareTasks: 8, ListEveryS: 9.5,
		PriorityCaps: map[string]core.Priority{"blue": 0, "green": 1, "red": 2, "white": 3},
		Nomad: &Nomad{
			Listen: "127.0.0.1:10", TokenHashKey: []byte("sixteen bytes, and more"), Tokens: map[string][]Hash{"blue": {hash(1)}}, AgentTokens: []Hash{hash(2)},
			MaxWatchers: 11, MaxConns: 12, RequestsPerS: 13, MHzPerCPU: 14, ScratchMB: 15, GPUDevices: []string{"nvidia/gpu"},
		},
		Notify: &Notify{
			Listen: "127.0.0.1:16",
			Receivers: []NotifyReceiver{{
				KeepsKeys: true,
				Limits:    notify.Receiver{Name: "desk", PerSecond: 20.5, MaxInFlight: 21, MaxMessageAge: 19_500_000},
				Delivery: deliver.Receiver{
					Name: "desk", URL: "http://h/17", LookupURL: "http://h/18", ContentType: "text/plain", Timeout: 22_500 * time.Millisecond,
					Secrets: [][]byte{[]byte("sixteen bytes, and more"), []byte("sixteen other bytes")},
				},
			}},
			Subscriptions: []notify.Subscription{
				{Name: "s1", Team: "blue", Class: "train", Receiver: "desk", Kinds: []notify.Kind{0, 5, 6}, DeliveryGuarantee: 0, Deadline: 23_500_000},
				{Name: "s2", Receiver: "desk", Kinds: []notify.Kind{5}, DeliveryGuarantee: 1, Deadline: 86_400_000_000},
				{Name: "s3", Receiver: "desk", Kinds: []notify.Kind{6}, DeliveryGuarantee: 2, Deadline: 86_400_000_000},
			},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\n%+v\n%+v\nwant %+v\n%+v\n%+v", got, got.Nomad, got.Notify, want, want.Nomad, want.Notify)
	}
	// The file contains every setting.
	var s Settings
	var n Nomad
	for _, c := range []struct {
		known map[string]ednmap.Parser
		path  []string
	}{{s.parsers(""), nil}, {n.parsers(""), []string{"nomad"}}} {
		if names := keysOf(t, text, c.path...); !slices.Equal(names, slices.Sorted(maps.Keys(c.known))) {
			t.Errorf("%v: the file has %q of %q", c.path, names, slices.Sorted(maps.Keys(c.known)))
		}
	}
}

// keysOf returns the sorted keys of the map at path in an S-expression.
func keysOf(t *testing.T, text []byte, path ...string) []string {
	t.Helper()
	var m map[edn.Keyword]edn.RawMessage
	if err := edn.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	if len(path) > 0 {
		return keysOf(t, m[edn.Keyword(path[0])], path[1:]...)
	}
	var out []string
	for k := range m {
		out = append(out, string(k))
	}
	slices.Sort(out)
	return out
}

// TestClusterConfigNames checks that every field of the cluster configuration is read and written
// by its name.
func TestClusterConfigNames(t *testing.T) {
	const path = "testdata/cluster.sexp"
	got, err := ReadClusterConfig(path, &clusterconfig.Base{})
	if err != nil {
		t.Fatal(err)
	}
	allSet(t, "tuning", reflect.ValueOf(got.Tuning))
	ptr := func(f float64) *float64 { return &f }
	spare := 13
	want := &clusterconfig.Config{
		Teams: map[string]clusterconfig.Team{
			"blue": {Min: core.Resources{CPU: 1500, GPU: 3500}, Max: core.Resources{CPU: 2500, GPU: 4500}, PriorityCap: 2, Draining: true},
			"red":  {Min: core.Resources{CPU: 5500, GPU: 7500}, Max: core.Resources{CPU: 6500, GPU: 8500}},
		},
		Tuning: clusterconfig.Tuning{IdleReturnS: ptr(9.5), RefusalPauseS: ptr(10.5), HoldS: ptr(11.5), QuarantineS: ptr(12.5), SpareTasks: &spare},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	blue := reflect.ValueOf(got.Teams["blue"])
	for i := range blue.NumField() {
		if blue.Field(i).IsZero() {
			t.Errorf("team.%s is not set", blue.Type().Field(i).Name)
		}
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	WriteClusterConfig(&out, got)
	if out.String() != string(file) {
		t.Errorf("written again\n%s, want\n%s", out.String(), file)
	}
}
