// Package httpapi serves clients that speak Nomad's HTTP interface
// (https://developer.hashicorp.com/nomad/api-docs): jobs, allocations,
// evaluations, nodes and the event stream, with blocking queries. It reads and
// writes the published JSON; what a request means is decided in packages
// jobfile, translate and registry, and done by a Backend. What is not served is
// answered 404 or 501 in one sentence.
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
	// ErrUnavailable: it cannot be said or done now; a retry finds out.
	ErrUnavailable = errors.New("this cannot be done or said now; try again")
	// ErrNoLeader: no node leads that could say where tasks are.
	//lint:ignore ST1005 the published clients know it by this text
	ErrNoLeader = errors.New("No cluster leader")
	// ErrBusy: too many queries wait already.
	ErrBusy = errors.New("too many blocking queries")
	// ErrNoJob: there is no such job.
	ErrNoJob = errors.New("job not found")
)

// RefusedError says why a job could never run here.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return e.Reason }

// Query is a look at the registry.
type Query struct {
	Name         registry.Name // a job, or with an empty ID all of the team's
	AfterIndex   uint64        // 0: answer at once; else once the index is higher, or
	MaxWait      time.Duration // when this is over
	WakeOnCounts bool          // answer also when the job's counts change
}

// Registered is what became of a registration.
type RegisterResult struct {
	Index     uint64 // the job's JobModifyIndex
	Version   uint64
	NativeIDs []string
}

// Members are the controllers and which of them leads, by the addresses at
// which they reach one another.
type Members struct {
	Self, Zone string
	Leader     string // address; "" for none
	Addresses  []string
}

// Backend is a controller. Every method returns by itself before its context
// ends or soon after.
type Backend interface {
	// Look runs see as the query says and returns the index that it saw. see
	// must copy what it keeps, and not wait.
	ReadRegistry(ctx context.Context, q Query, see func(*registry.Registry)) (uint64, error)
	Register(ctx context.Context, r registry.Registration) (RegisterResult, error)
	// Plan says what a registration would change, and of which job.
	Plan(ctx context.Context, r registry.Registration) (*registry.Change, *registry.Job, error)
	Deregister(ctx context.Context, n registry.Name, purge bool) (RegisterResult, error)
	// ShowAll asks the leader where tasks and machines are.
	QueryLeader(ctx context.Context, a *peer.ViewRequest) (*peer.ViewResponse, error)
	Members(ctx context.Context) Members
	TranslationPolicy(team string) translate.Policy
	Healthy() bool
}
