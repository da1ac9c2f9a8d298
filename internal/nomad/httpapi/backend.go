// Package httpapi serves Nomad's HTTP API (https://developer.hashicorp.com/nomad/api-docs): jobs,
// allocations, evaluations, nodes and the event stream, with blocking queries. It reads and writes
// the published JSON. Packages jobfile, translate and registry interpret a request, and a Backend
// carries it out. A request for something that is not supported is answered with status 404 or 501
// and one sentence.
package httpapi

import (
	"context"
	"errors"
	"time"

	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/peer"
)

// Errors of a Backend.
var (
	// ErrUnavailable means that the request cannot be served now, or that its outcome is not known.
	// A retry finds out.
	ErrUnavailable = errors.New("the request cannot be served now, or its outcome is not known; try again")
	// ErrNoLeader means that there is no leader that knows where tasks are.
	//lint:ignore ST1005 the published clients recognize the error by this text
	ErrNoLeader = errors.New("No cluster leader")
	// ErrBusy means that the limit on queries that wait is reached.
	ErrBusy = errors.New("too many blocking queries")
	// ErrNoJob means that the job does not exist.
	ErrNoJob = errors.New("job not found")
)

// RefusedError reports why a job can never run on this cluster.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return e.Reason }

// Query describes a read of the registry, which may block.
type Query struct {
	Name         registry.Name // a job; with an empty ID, all jobs of the team
	AfterIndex   uint64        // answer once the index is higher than this; 0 answers at once
	MaxWait      time.Duration // answer after this time even if the index is not higher
	WakeOnCounts bool          // answer also when the job's task counts change
}

// RegisterResult is the state of a job after it was registered or deregistered.
type RegisterResult struct {
	Index     uint64 // the job's JobModifyIndex
	Version   uint64
	NativeIDs []string
}

// Members lists the controllers and the leader, by the addresses at which they reach one another.
type Members struct {
	Self, Zone string
	Leader     string   // address; "" if there is no leader
	Addresses  []string // of all controllers; the first one is this controller's
}

// Backend is a controller. Every method returns before its context ends or soon after.
type Backend interface {
	// ReadRegistry runs read when the query is due, and returns the index of the registry at that time.
	// read must copy what it keeps, and must neither block nor compute: it runs on the goroutine that
	// the cluster's leases and tasks wait for. ReadRegistry fails with ErrBusy if too many queries wait.
	ReadRegistry(ctx context.Context, q Query, read func(*registry.Registry)) (uint64, error)
	Register(ctx context.Context, r registry.Registration) (RegisterResult, error)
	// Plan returns what a registration would change, and the job as it is now (nil if there is none).
	Plan(ctx context.Context, r registry.Registration) (*registry.Change, *registry.Job, error)
	Deregister(ctx context.Context, n registry.Name, purge bool) (RegisterResult, error)
	// QueryLeader asks the leader for views of tasks and machines.
	QueryLeader(ctx context.Context, req *peer.ViewRequest) (*peer.ViewResponse, error)
	Members(ctx context.Context) Members
	// TranslationPolicy returns the limits that apply to the job files of a team.
	TranslationPolicy(team string) translate.Policy
	// Healthy reports whether requests can be served now.
	Healthy() bool
}
