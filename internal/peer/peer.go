// Package peer is the protocol between controllers, over gRPC: they exchange whether they reach
// the state service, and the leader sends how far jobs have come. It also carries requests that
// only the leader can answer.
//
// Messages are MessagePack rather than protocol buffers: the program has one encoding, and no
// generated code.
package peer

import (
	"context"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"

	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/notify/control"
)

// Status is the state of one controller, as it reports it to its peers.
type Status struct {
	Node             string   `msgpack:"n"`
	StateOK          bool     `msgpack:"s"` // the node reaches the state service
	WorkersReporting bool     `msgpack:"w"` // workers have reached it in the last seconds
	Token            uint64   `msgpack:"t"` // of the node's term; 0 if it does not lead
	Counts           []Counts `msgpack:"c"` // from the leader: counts that changed
	// Leader is the member that wrote the latest leader's key that the node knows of, and
	// LeaderToken the token of that key. The node's own term counts even if its lease is not
	// certain to be valid.
	Leader      string `msgpack:"ln,omitempty"`
	LeaderToken uint64 `msgpack:"lt,omitempty"`

	// Revision is the revision up to which the sender knows every change, 0 for none. A reply
	// lists in Cancellations those after the requester's Revision that the peer knows of.
	// CancellationsComplete is set if these are all that the peer can have told users of.
	Revision uint64 `msgpack:"h,omitempty"`
	// LegacySeen is always the highest value, for peers of an older version: they take a low value
	// as confirmation that no job has changed.
	LegacySeen            uint64         `msgpack:"v"`
	Cancellations         []Cancellation `msgpack:"x,omitempty"`
	CancellationsComplete bool           `msgpack:"k,omitempty"`

	// ConfigFormat is the newest format of the configuration that the node reads, 0 for an older
	// version of the program. ConfigRevision is the revision of the configuration in effect.
	ConfigFormat   int    `msgpack:"cf,omitempty"`
	ConfigRevision uint64 `msgpack:"cr,omitempty"`

	Incarnation uint64 `msgpack:"l"`           // random number of the node's process
	Nonce       uint64 `msgpack:"o,omitempty"` // identifies this reply
	// EchoedNonce, from the leader, is the Nonce of the last reply that it received. The
	// delegation counts from that reply.
	EchoedNonce uint64 `msgpack:"e,omitempty"`
	// DelegatedAnswerAge is how long ago the node last answered a worker under delegation, in
	// microseconds; negative for never.
	DelegatedAnswerAge int64 `msgpack:"a"`
}

// Cancellation is a job that was cancelled, with the revision of its final record and when that
// was written, by the wall clock in microseconds.
type Cancellation struct {
	Job      string `msgpack:"j"`
	Revision uint64 `msgpack:"s"`
	At       int64  `msgpack:"a"`
}

// Counts holds the numbers of done and running tasks of a job.
type Counts struct {
	Job     string `msgpack:"j"`
	Done    int    `msgpack:"d"`
	Running int    `msgpack:"r"`
}

// ViewRequest asks the leader for what only it knows: where tasks are. The result is for display.
type ViewRequest struct {
	Jobs     []JobViewRequest `msgpack:"j,omitempty"`
	Limit    int              `msgpack:"l,omitempty"` // most tasks in the response, of all jobs together
	Machines bool             `msgpack:"m,omitempty"`
}

// JobViewRequest names a job and the first task that is requested.
type JobViewRequest struct {
	Job       string `msgpack:"j"`
	FirstTask int    `msgpack:"f,omitempty"`
}

// ViewResponse is the response to a ViewRequest.
type ViewResponse struct {
	Jobs     []JobView          `msgpack:"j,omitempty"`
	Machines []core.MachineView `msgpack:"m,omitempty"`
}

// JobView holds the tasks of a job that are done or on a machine. More is set if further tasks
// follow.
type JobView struct {
	Job   string          `msgpack:"j"`
	Tasks []core.TaskView `msgpack:"t,omitempty"`
	More  bool            `msgpack:"m,omitempty"`
}

const (
	serviceName  = "aspenstall.Peer"
	statusMethod = "/" + serviceName + "/Tell"
	viewsMethod  = "/" + serviceName + "/Show"
	notifyMethod = "/" + serviceName + "/Notify"
	codecName    = "msgpack"
	callTimeout  = time.Second
)

type codec struct{}

func (codec) Marshal(v any) ([]byte, error)   { return msgpack.Marshal(v) }
func (codec) Unmarshal(b []byte, v any) error { return msgpack.Unmarshal(b, v) }
func (codec) Name() string                    { return codecName }
func init()                                   { encoding.RegisterCodec(codec{}) }

// Handler serves the calls of peers.
type Handler interface {
	ExchangeStatus(ctx context.Context, s *Status) (*Status, error)
	// Views returns tasks and machines. It fails on a node that does not lead.
	Views(ctx context.Context, req *ViewRequest) (*ViewResponse, error)
	// ControlNotifications carries out an operator's request. It fails on a node that does not
	// lead.
	ControlNotifications(ctx context.Context, req *control.Request) (*control.Response, error)
}

// Serve serves the calls of peers on l until l fails, and returns the error.
func Serve(l net.Listener, h Handler) error {
	s := grpc.NewServer(grpc.ConnectionTimeout(5*time.Second), grpc.MaxConcurrentStreams(16))
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods:     []grpc.MethodDesc{method("Tell", Handler.ExchangeStatus), method("Show", Handler.Views), method("Notify", Handler.ControlNotifications)},
	}, h)
	return s.Serve(l)
}

// method returns the description of one call.
func method[In, Out any](name string, f func(Handler, context.Context, *In) (*Out, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var in In
			if err := dec(&in); err != nil {
				return nil, err
			}
			return f(srv.(Handler), ctx, &in)
		},
	}
}

// Client calls one peer.
type Client struct{ conn *grpc.ClientConn }

// Dial returns a client for the peer at addr, an IP address and port. The connection is made with
// dial when it is first used.
func Dial(addr string, dial netdial.Func) (*Client, error) {
	c, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName)),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) }),
		grpc.WithConnectParams(grpc.ConnectParams{
			// Bounds the back-off, so that a peer is reconnected within moments after a network
			// partition.
			Backoff:           backoff.Config{BaseDelay: time.Second, Multiplier: 1.2, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy())
	if err != nil {
		return nil, err
	}
	return &Client{c}, nil
}

// Close ends the client's connection.
func (c *Client) Close() error { return c.conn.Close() }

// ExchangeStatus sends this node's status and returns the peer's.
func (c *Client) ExchangeStatus(ctx context.Context, s *Status) (*Status, error) {
	return invoke[Status](ctx, c, statusMethod, s)
}

// Views asks the peer, which must lead, for tasks and machines.
func (c *Client) Views(ctx context.Context, req *ViewRequest) (*ViewResponse, error) {
	return invoke[ViewResponse](ctx, c, viewsMethod, req)
}

// ControlNotifications passes an operator's request to the peer, which must lead.
func (c *Client) ControlNotifications(ctx context.Context, req *control.Request) (*control.Response, error) {
	return invoke[control.Response](ctx, c, notifyMethod, req)
}

func invoke[Out any](ctx context.Context, c *Client, method string, in any) (*Out, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out Out
	if err := c.conn.Invoke(ctx, method, in, &out); err != nil {
		return nil, err
	}
	return &out, nil
}
