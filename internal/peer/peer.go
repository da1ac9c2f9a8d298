// Package peer is what controllers tell each other, over gRPC: whether they
// reach the state service, and from the leader how far jobs have come.
//
// Messages are MessagePack rather than protocol buffers: one encoding in the
// program, and no generated code.
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

// Status is what a node says of itself.
type Status struct {
	Node             string   `msgpack:"n"`
	StateOK          bool     `msgpack:"s"` // it reaches the state service
	WorkersReporting bool     `msgpack:"w"` // workers have reached it in the last seconds
	Token            uint64   `msgpack:"t"` // of its term; 0: it does not lead
	Counts           []Counts `msgpack:"c"` // from the leader: what changed
	// Leader wrote the latest leader's key that the node knows of, under LeaderToken;
	// that of its own term counts also when its lease is not certain to be alive.
	Leader      string `msgpack:"ln,omitempty"`
	LeaderToken uint64 `msgpack:"lt,omitempty"`

	// Have is the revision up to which the node that asks knows every change, 0 for
	// none. The reply lists the cancellations after it that the peer knows of, and
	// Vouches if these are all that it can have told users of.
	Revision uint64 `msgpack:"h,omitempty"`
	// Seen tells peers of an earlier version, which take a low one for agreement that
	// no job has changed, that there is none.
	LegacySeen            uint64         `msgpack:"v"`
	Cancellations         []Cancellation `msgpack:"x,omitempty"`
	CancellationsComplete bool           `msgpack:"k,omitempty"`

	// ConfigFormat is the newest format of the configuration that the node reads, 0 for an
	// earlier version of the program; Config is the revision of the one that it acts by.
	ConfigFormat   int    `msgpack:"cf,omitempty"`
	ConfigRevision uint64 `msgpack:"cr,omitempty"`

	Incarnation uint64 `msgpack:"l"`           // of its process
	Nonce       uint64 `msgpack:"o,omitempty"` // of this reply
	EchoedNonce uint64 `msgpack:"e,omitempty"` // from the leader: the peer's last reply that it has; it may answer workers a while from that
	// AnsweredAgo is how long ago it last answered a worker in the leader's
	// place, in microseconds; negative for never.
	DelegatedAnswerAge int64 `msgpack:"a"`
}

// Cancelled is a job that was cancelled: the revision of its record, and when that
// was written, by the wall clock in microseconds.
type Cancellation struct {
	Job      string `msgpack:"j"`
	Revision uint64 `msgpack:"s"`
	At       int64  `msgpack:"a"`
}

// Counts is how far a job has come.
type Counts struct {
	Job     string `msgpack:"j"`
	Done    int    `msgpack:"d"`
	Running int    `msgpack:"r"`
}

// Ask asks the leader what only it knows: where tasks are. It is for display.
type ViewRequest struct {
	Jobs     []JobViewRequest `msgpack:"j,omitempty"`
	Limit    int              `msgpack:"l,omitempty"` // tasks in all
	Machines bool             `msgpack:"m,omitempty"`
}

// JobAsk names a job and the first task that is asked for.
type JobViewRequest struct {
	Job       string `msgpack:"j"`
	FirstTask int    `msgpack:"f,omitempty"`
}

// Shown is the answer.
type ViewResponse struct {
	Jobs     []JobView          `msgpack:"j,omitempty"`
	Machines []core.MachineView `msgpack:"m,omitempty"`
}

// JobShown are the tasks of a job that are done or on a machine.
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

// Handler answers a peer's status with this node's own.
type Handler interface {
	ExchangeStatus(ctx context.Context, s *Status) (*Status, error)
	// Show fails on a node that does not lead.
	Views(ctx context.Context, req *ViewRequest) (*ViewResponse, error)
	// Notify is an operator's request; it fails on a node that does not lead.
	ControlNotifications(ctx context.Context, req *control.Ask) (*control.Answer, error)
}

// Serve answers peers on l until it fails.
func Serve(l net.Listener, h Handler) error {
	s := grpc.NewServer(grpc.ConnectionTimeout(5*time.Second), grpc.MaxConcurrentStreams(16))
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods:     []grpc.MethodDesc{method("Tell", Handler.ExchangeStatus), method("Show", Handler.Views), method("Notify", Handler.ControlNotifications)},
	}, h)
	return s.Serve(l)
}

// method describes one call.
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

// Client tells one peer.
type Client struct{ conn *grpc.ClientConn }

// Dial returns a client for the peer at addr, an IP address and port; the
// connection is made with dial when it is first used.
func Dial(addr string, dial netdial.Func) (*Client, error) {
	c, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName)),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) }),
		grpc.WithConnectParams(grpc.ConnectParams{
			// A peer that was cut off is to be heard again within moments.
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

// Tell tells the peer this node's status and returns the peer's.
func (c *Client) ExchangeStatus(ctx context.Context, s *Status) (*Status, error) {
	return invoke[Status](ctx, c, statusMethod, s)
}

// Show asks the peer, which has to lead.
func (c *Client) Views(ctx context.Context, req *ViewRequest) (*ViewResponse, error) {
	return invoke[ViewResponse](ctx, c, viewsMethod, req)
}

// Notify hands an operator's request to the peer, which has to lead.
func (c *Client) ControlNotifications(ctx context.Context, req *control.Ask) (*control.Answer, error) {
	return invoke[control.Answer](ctx, c, notifyMethod, req)
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
