package registry

import (
	"bytes"
	"cmp"
	"compress/flate"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"aspenstall/internal/core"
	"aspenstall/internal/wire"
)

// Prefix of the keys of all records here. Every node watches it with the
// native jobs' records, so that both come in one order.
const Prefix = "c/nomad/"

const (
	jobPrefix    = Prefix + "job/"
	sourcePrefix = Prefix + "src/"
	purgePrefix  = Prefix + "gone/"
)

// gone is a team's record that is written with every purge, so that the team's
// index does not go back when a node starts anew and reads what is left.
type purgeRecord struct {
	Team string `msgpack:"t"`
}

func purgeKey(team string) string {
	rec := sha256.Sum256([]byte(team))
	return purgePrefix + hex.EncodeToString(rec[:])
}

// head is a job's record.
type jobRecord struct {
	Team    string  `msgpack:"t"`
	ID      string  `msgpack:"i"`
	Version uint64  `msgpack:"v"`
	Groups  []Group `msgpack:"g"`
	Stopped bool    `msgpack:"x,omitempty"`
	At      int64   `msgpack:"at"`
	Create  uint64  `msgpack:"c,omitempty"` // 0: this record was the first
	Before  uint64  `msgpack:"b,omitempty"`
	Stub    Stub    `msgpack:"s"`
}

// source is a version's job, packed.
type sourceRecord struct {
	Packed string `msgpack:"p"`
	At     int64  `msgpack:"at"`
}

// jobKey is a job's part of its keys: names may hold anything, keys may not.
func jobKey(n Name) string {
	rec := sha256.Sum256([]byte(n.Team + "\x00" + n.ID))
	return hex.EncodeToString(rec[:])
}

func sourceKey(key string, number uint64) string {
	return sourcePrefix + key + "/" + strconv.FormatUint(number, 10)
}

// Pack brings a job's JSON into the form in which it is kept.
func Pack(b []byte) (string, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		return "", err
	}
	if _, err := w.Write(b); err != nil {
		return "", err
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	return base64.StdEncoding.EncodeToString(out.Bytes()), nil
}

// maxSource bounds what a packed source may unpack to.
const maxSourceBytes = 4 << 20

// Unpack is the reverse of Pack.
func Unpack(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxSourceBytes))
}

// Put takes over a record that was written, and tells whose it is, a job's or
// with an empty ID a team's; a record that is older than what is known is
// passed over.
func (r *Registry) HandlePut(key string, value []byte, revision uint64) (Name, bool, error) {
	if rest, ok := strings.CutPrefix(key, sourcePrefix); ok {
		id, number, _ := strings.Cut(rest, "/")
		v, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return Name{}, false, fmt.Errorf("record %s: %w", key, err)
		}
		var s sourceRecord
		if err := wire.Unmarshal(value, &s); err != nil {
			return Name{}, false, fmt.Errorf("record %s: %w", key, err)
		}
		r.addVersion(id, version{v, s.Packed, revision, core.Micros(s.At)})
		return Name{}, false, nil
	}
	if strings.HasPrefix(key, purgePrefix) {
		var g purgeRecord
		if err := wire.Unmarshal(value, &g); err != nil {
			return Name{}, false, fmt.Errorf("record %s: %w", key, err)
		}
		changed := revision > r.teamIndex[g.Team]
		r.teamIndex[g.Team] = max(r.teamIndex[g.Team], revision)
		return Name{Team: g.Team}, changed, nil
	}
	id, ok := strings.CutPrefix(key, jobPrefix)
	if !ok {
		return Name{}, false, nil
	}
	var rec jobRecord
	if err := wire.Unmarshal(value, &rec); err != nil {
		return Name{}, false, fmt.Errorf("record %s: %w", key, err)
	}
	n := Name{rec.Team, rec.ID}
	old := r.jobs[n]
	if old != nil && old.JobModifyIndex >= revision {
		return n, false, nil
	}
	j := &Job{
		Name: n, Stub: rec.Stub, Version: rec.Version, Groups: rec.Groups, Stopped: rec.Stopped, Submitted: core.Micros(rec.At),
		JobModifyIndex: revision, CreateIndex: cmp.Or(rec.Create, revision), previousModifyIndex: rec.Before,
	}
	if old != nil {
		j.versions = old.versions
		r.unindexNatives(old)
	} else {
		j.versions = r.orphanedSources[id]
		delete(r.orphanedSources, id)
	}
	for _, g := range j.Groups {
		r.byNative[g.Native] = j
	}
	r.jobs[n], r.namesByKey[id] = j, n
	// A whole list has native jobs before the jobs that they are of.
	r.teamIndex[n.Team] = max(r.teamIndex[n.Team], r.ModifyIndex(j))
	return n, true, nil
}

func (r *Registry) unindexNatives(j *Job) {
	for _, g := range j.Groups {
		if r.byNative[g.Native] == j {
			delete(r.byNative, g.Native)
		}
	}
}

func (r *Registry) addVersion(id string, v version) {
	add := func(list []version) []version {
		i, found := slices.BinarySearchFunc(list, v.number, func(o version, n uint64) int { return cmp.Compare(o.number, n) })
		switch {
		case !found:
			return slices.Insert(slices.Clone(list), i, v)
		case list[i].revision < v.revision:
			list = slices.Clone(list)
			list[i] = v
		}
		return list
	}
	if n, ok := r.namesByKey[id]; ok {
		r.jobs[n].versions = add(r.jobs[n].versions)
	} else {
		r.orphanedSources[id] = add(r.orphanedSources[id])
	}
}

// Drop takes over that a record was deleted, and tells whose it was.
func (r *Registry) HandleDelete(key string, revision uint64) (Name, bool) {
	if rest, ok := strings.CutPrefix(key, sourcePrefix); ok {
		id, number, _ := strings.Cut(rest, "/")
		v, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return Name{}, false
		}
		drop := func(list []version) []version {
			return slices.DeleteFunc(slices.Clone(list), func(o version) bool { return o.number == v && o.revision < revision })
		}
		if n, ok := r.namesByKey[id]; ok {
			r.jobs[n].versions = drop(r.jobs[n].versions)
		} else if list := drop(r.orphanedSources[id]); len(list) > 0 {
			r.orphanedSources[id] = list
		} else {
			delete(r.orphanedSources, id)
		}
		return Name{}, false
	}
	id, ok := strings.CutPrefix(key, jobPrefix)
	n, known := r.namesByKey[id]
	if !ok || !known {
		return Name{}, false
	}
	j := r.jobs[n]
	if j.JobModifyIndex >= revision {
		return n, false
	}
	r.unindexNatives(j)
	delete(r.jobs, n)
	delete(r.namesByKey, id)
	r.purged = append(r.purged, PurgedJob{n, revision})
	if len(r.purged) > maxPurged {
		r.purged = slices.Delete(r.purged, 0, len(r.purged)-maxPurged)
	}
	return n, true
}

// Missing takes over a whole list of keys as of a revision: what is known and
// not in it was deleted. It tells whose records those were.
func (r *Registry) HandleKeyList(listed map[string]bool, revision uint64) []Name {
	var out []Name
	for id, n := range r.namesByKey {
		for _, v := range r.jobs[n].versions {
			if k := sourceKey(id, v.number); !listed[k] && v.revision <= revision {
				r.HandleDelete(k, v.revision+1)
			}
		}
		if !listed[jobPrefix+id] && r.jobs[n].JobModifyIndex <= revision {
			// When is not known; the team's record of purges, which is in the
			// list, says by when at the latest.
			if _, ok := r.HandleDelete(jobPrefix+id, r.teamIndex[n.Team]); ok {
				out = append(out, n)
			}
		}
	}
	return out
}

// Source is the JSON of a version of a job, and the index of its registration.
func (j *Job) Source(number uint64) (b []byte, index uint64, at core.Micros, err error) {
	for _, v := range j.versions {
		if v.number == number {
			b, err = Unpack(v.source)
			return b, v.revision, v.submitted, err
		}
	}
	return nil, 0, 0, fmt.Errorf("version %d of %s is not kept", number, j.ID)
}

// Versions lists the versions that are kept, the newest first.
func (j *Job) Versions() []uint64 {
	var out []uint64
	for _, v := range slices.Backward(j.versions) {
		out = append(out, v.number)
	}
	return out
}
