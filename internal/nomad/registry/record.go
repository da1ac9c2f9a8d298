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

// Prefix is the prefix of the keys of all records of this package. Every node watches it together
// with the native jobs' records, so that the changes to both arrive in one order.
const Prefix = "c/nomad/"

const (
	jobPrefix    = Prefix + "job/"
	sourcePrefix = Prefix + "src/"
	purgePrefix  = Prefix + "gone/"
)

// purgeRecord is a record of a team that is written with every purge of a job. With it, the team's
// index does not decrease when a node restarts and reads the remaining records, and a registration
// that was computed before a purge can be told from one that was computed after it.
type purgeRecord struct {
	Team string `msgpack:"t"`
}

// teamPurgeKey returns the key of the purgeRecord that earlier versions write with every purge of a
// team's jobs.
func teamPurgeKey(team string) string {
	sum := sha256.Sum256([]byte(team))
	return purgePrefix + hex.EncodeToString(sum[:])
}

// purgeShardDigits is the number of digits of a job's key that select its purgeRecord.
const purgeShardDigits = 1

// purgeKey returns the key of the purgeRecord that is written with a purge of a job. A team has
// several, by the jobs' keys: a registration of one job seldom conflicts with purges of others.
func purgeKey(n Name) string { return teamPurgeKey(n.Team) + "/" + jobKey(n)[:purgeShardDigits] }

// jobRecord is the stored record of a job.
type jobRecord struct {
	Team    string  `msgpack:"t"`
	ID      string  `msgpack:"i"`
	Version uint64  `msgpack:"v"`
	Groups  []Group `msgpack:"g"`
	Stopped bool    `msgpack:"x,omitempty"`
	At      int64   `msgpack:"at"`
	Create  uint64  `msgpack:"c,omitempty"` // CreateIndex; 0: the revision of this record
	Before  uint64  `msgpack:"b,omitempty"` // the JobModifyIndex that this record replaced
	Stub    Stub    `msgpack:"s"`
}

// sourceRecord is the stored source of a version of a job.
type sourceRecord struct {
	Packed string `msgpack:"p"`
	At     int64  `msgpack:"at"`
}

// jobKey returns the part of the keys of a job's records that identifies the job. It is a hash,
// since names may have characters that keys may not.
func jobKey(n Name) string {
	sum := sha256.Sum256([]byte(n.Team + "\x00" + n.ID))
	return hex.EncodeToString(sum[:])
}

// sourceKey returns the key of the sourceRecord of a version; key is the jobKey of the job.
func sourceKey(key string, number uint64) string {
	return sourcePrefix + key + "/" + strconv.FormatUint(number, 10)
}

// Pack compresses a job's JSON into the stored form: DEFLATE, in base64.
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

// maxSourceBytes limits the size of an unpacked source.
const maxSourceBytes = 4 << 20

// Unpack returns the JSON of a source that Pack compressed, cut at maxSourceBytes.
func Unpack(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxSourceBytes))
}

// HandlePut processes a record that was written at a revision. It returns the name of the job that
// the record belongs to, or with an empty ID that of the team, and whether the job or the team
// changed. For a source, it returns an empty name and false. Records that are older than the known
// state are ignored.
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
		r.purgeRevisions[key] = max(r.purgeRevisions[key], revision)
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
	r.setJob(j)
	r.namesByKey[id] = n
	// In a complete list, native jobs come before the jobs that they belong to.
	r.teamIndex[n.Team] = max(r.teamIndex[n.Team], r.ModifyIndex(j))
	return n, true, nil
}

// unindexNatives removes the native jobs of a job from byNative.
func (r *Registry) unindexNatives(j *Job) {
	for _, g := range j.Groups {
		if r.byNative[g.Native] == j {
			delete(r.byNative, g.Native)
		}
	}
}

// addVersion adds a version to the job with a jobKey, or to orphanedSources if the job's record has
// not arrived yet.
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

// HandleDelete processes the deletion of a record at a revision. It returns the name of the job that
// the record belongs to and whether the job is now deleted. For a source, it returns an empty name
// and false.
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
	r.dropJob(n)
	delete(r.namesByKey, id)
	r.purged = append(r.purged, PurgedJob{n, revision})
	if len(r.purged) > maxPurged {
		r.purged = slices.Delete(r.purged, 0, len(r.purged)-maxPurged)
	}
	return n, true
}

// HandleKeyList processes a complete list of the keys at a revision: known records that are not in
// it were deleted. It returns the names of the deleted jobs.
func (r *Registry) HandleKeyList(listed map[string]bool, revision uint64) []Name {
	var out []Name
	for id, n := range r.namesByKey {
		for _, v := range r.jobs[n].versions {
			if k := sourceKey(id, v.number); !listed[k] && v.revision <= revision {
				r.HandleDelete(k, v.revision+1)
			}
		}
		if !listed[jobPrefix+id] && r.jobs[n].JobModifyIndex <= revision {
			// The revision of the purge is not known. That of the team's purgeRecord, which is in
			// the list, is an upper bound.
			if _, ok := r.HandleDelete(jobPrefix+id, r.teamIndex[n.Team]); ok {
				out = append(out, n)
			}
		}
	}
	return out
}

// Source returns the JSON of a version of a job, the index of its registration, and the wall-clock
// time of its submission. It returns an error if the version is not stored.
func (j *Job) Source(number uint64) (b []byte, index uint64, at core.Micros, err error) {
	for _, v := range j.versions {
		if v.number == number {
			b, err = Unpack(v.source)
			return b, v.revision, v.submitted, err
		}
	}
	return nil, 0, 0, fmt.Errorf("version %d of %s is not stored", number, j.ID)
}

// Versions returns the numbers of the stored versions, the newest first.
func (j *Job) Versions() []uint64 {
	var out []uint64
	for _, v := range slices.Backward(j.versions) {
		out = append(out, v.number)
	}
	return out
}
