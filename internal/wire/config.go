package wire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
)

// The records below hold the cluster configuration, which operators change at run time.

// configChange is a change in the head's list of recent changes.
type configChange struct {
	//lint:ignore U1000 the encoder reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Version  uint64
}

// configHead is the head record of the configuration.
type configHead struct {
	Format        int            `msgpack:"f"`
	Version       uint64         `msgpack:"n"`
	Pages         []string       `msgpack:"p"` // keys without clusterconfig.PagePrefix
	RecentChanges []configChange `msgpack:"l"`

	IdleReturnS   *float64 `msgpack:"ir,omitempty"`
	RefusalPauseS *float64 `msgpack:"rp,omitempty"`
	HoldS         *float64 `msgpack:"hs,omitempty"`
	QuarantineS   *float64 `msgpack:"qs,omitempty"`
	SpareTasks    *int     `msgpack:"st,omitempty"`
}

// configTeam is encoded as a list rather than a map, since one value holds many teams.
type configTeam struct {
	//lint:ignore U1000 the encoder reads its tag
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	MinCPU, MaxCPU int64
	MinGPU, MaxGPU int64
	PriorityCap    uint8
	Draining       bool
}

// configPage holds some of the configuration's teams.
type configPage struct {
	Teams []configTeam `msgpack:"t"`
}

// configAck is a controller's acknowledgement of the version that it uses.
type configAck struct {
	Format       int      `msgpack:"f"`
	HeadRevision uint64   `msgpack:"s"`
	Version      uint64   `msgpack:"n"`
	Peers        []string `msgpack:"p"`
	Error        string   `msgpack:"e,omitempty"`

	OlderPeers []string `msgpack:"o,omitempty"`
}

// ConfigCodec encodes the configuration's records. It implements clusterconfig.Codec.
type ConfigCodec struct{}

// Encode encodes the head or the page of a write; a write of neither is an error.
func (ConfigCodec) Encode(w clusterconfig.Write) ([]byte, error) {
	switch {
	case w.Head != nil:
		return encodeConfigHead(w.Head)
	case w.Page != nil:
		return encodeConfigPage(w.Page)
	}
	return nil, fmt.Errorf("no head or page to encode at key %q", w.Key)
}

// Size returns the size in bytes that the state service counts for a value: that of its JSON form.
func (ConfigCodec) Size(value []byte) int {
	var v any
	if err := msgpack.Unmarshal(value, &v); err != nil {
		return len(value)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return len(value)
	}
	return len(b)
}

func encodeConfigHead(h *clusterconfig.Head) ([]byte, error) {
	w := configHead{
		Format: h.Format, Version: h.Version, Pages: []string{},
		IdleReturnS: h.Tuning.IdleReturnS, RefusalPauseS: h.Tuning.RefusalPauseS, HoldS: h.Tuning.HoldS,
		QuarantineS: h.Tuning.QuarantineS, SpareTasks: h.Tuning.SpareTasks,
	}
	for _, key := range h.Pages {
		w.Pages = append(w.Pages, key[len(clusterconfig.PagePrefix):])
	}
	for _, a := range h.RecentChanges {
		w.RecentChanges = append(w.RecentChanges, configChange{ID: a.ID, Version: a.Version})
	}
	return Marshal(&w)
}

// DecodeConfigHead decodes the configuration's head. For a head of a newer format it returns the
// format alone.
func DecodeConfigHead(b []byte) (clusterconfig.Head, error) {
	var format struct {
		Format int `msgpack:"f"`
	}
	if err := Unmarshal(b, &format); err != nil {
		return clusterconfig.Head{}, fmt.Errorf("the configuration's head: %w", err)
	}
	if format.Format > clusterconfig.Format {
		return clusterconfig.Head{Format: format.Format}, nil
	}
	var w configHead
	if err := Unmarshal(b, &w); err != nil {
		return clusterconfig.Head{}, fmt.Errorf("the configuration's head: %w", err)
	}
	h := clusterconfig.Head{Format: w.Format, Version: w.Version, Tuning: clusterconfig.Tuning{
		IdleReturnS: w.IdleReturnS, RefusalPauseS: w.RefusalPauseS, HoldS: w.HoldS, QuarantineS: w.QuarantineS, SpareTasks: w.SpareTasks,
	}}
	for _, key := range w.Pages {
		h.Pages = append(h.Pages, clusterconfig.PagePrefix+key)
	}
	for _, a := range w.RecentChanges {
		h.RecentChanges = append(h.RecentChanges, clusterconfig.AppliedChange{ID: a.ID, Version: a.Version})
	}
	return h, nil
}

func encodeConfigPage(p *clusterconfig.Page) ([]byte, error) {
	w := configPage{Teams: []configTeam{}}
	for _, name := range slices.Sorted(maps.Keys(p.Teams)) {
		t := p.Teams[name]
		w.Teams = append(w.Teams, configTeam{
			Name: name, MinCPU: t.Min.CPU, MaxCPU: t.Max.CPU, MinGPU: t.Min.GPU, MaxGPU: t.Max.GPU, PriorityCap: uint8(t.PriorityCap), Draining: t.Draining,
		})
	}
	return Marshal(&w)
}

// DecodeConfigPage decodes a page of the configuration.
func DecodeConfigPage(b []byte) (clusterconfig.Page, error) {
	var w configPage
	if err := Unmarshal(b, &w); err != nil {
		return clusterconfig.Page{}, fmt.Errorf("a page of the configuration: %w", err)
	}
	p := clusterconfig.Page{Teams: map[string]clusterconfig.Team{}}
	for _, t := range w.Teams {
		p.Teams[t.Name] = clusterconfig.Team{
			Min: core.Resources{CPU: t.MinCPU, GPU: t.MinGPU}, Max: core.Resources{CPU: t.MaxCPU, GPU: t.MaxGPU},
			PriorityCap: core.Priority(t.PriorityCap), Draining: t.Draining,
		}
	}
	return p, nil
}

// EncodeConfigAck encodes a controller's acknowledgement of a configuration.
func EncodeConfigAck(a *clusterconfig.Ack) ([]byte, error) {
	return Marshal(&configAck{Format: a.Format, HeadRevision: a.HeadRevision, Version: a.Version, Peers: a.Peers, Error: a.Error, OlderPeers: a.OlderPeers})
}

// DecodeConfigAck decodes a controller's acknowledgement of a configuration.
func DecodeConfigAck(b []byte) (clusterconfig.Ack, error) {
	var w configAck
	err := Unmarshal(b, &w)
	return clusterconfig.Ack{Format: w.Format, HeadRevision: w.HeadRevision, Version: w.Version, Peers: w.Peers, Error: w.Error, OlderPeers: w.OlderPeers}, err
}
