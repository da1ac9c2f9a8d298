package node

import "context"

// requestClass is a class of requests of other processes. The owning goroutine serves the classes in
// this order, after its own inbox, which has what its lease, its reads and its commands came to.
type requestClass uint8

const (
	workerReport requestClass = iota
	cancellation
	submission
	question // of users about jobs
	registryRead
	numRequestClasses
)

// requestLimits bounds each class: how many requests may wait, and how many are served before the
// core's next step and the other classes. More than may wait are refused, so that a class that gets
// more than this node can serve holds up no other one for long.
var requestLimits = [numRequestClasses]struct{ waiting, batch int }{
	workerReport: {4096, 256},
	cancellation: {1024, 64},
	submission:   {1024, 64},
	question:     {1024, 32},
	registryRead: {256, 8},
}

// requestQueues holds requests that wait for the owning goroutine.
type requestQueues struct {
	waiting [numRequestClasses]chan func()
	arrived chan struct{} // signals the owning goroutine that requests wait
}

func newRequestQueues() *requestQueues {
	q := &requestQueues{arrived: make(chan struct{}, 1)}
	for class := range q.waiting {
		q.waiting[class] = make(chan func(), requestLimits[class].waiting)
	}
	return q
}

// add queues a request. It returns false if too many of the class wait. Any goroutine may call it.
func (q *requestQueues) add(class requestClass, f func()) bool {
	select {
	case q.waiting[class] <- f:
		q.signal()
		return true
	default:
		return false
	}
}

// signal wakes the owning goroutine.
func (q *requestQueues) signal() {
	select {
	case q.arrived <- struct{}{}:
	default:
	}
}

// run serves up to a batch of each class, and calls first before each class.
func (q *requestQueues) run(first func()) {
	left := false
	for class, waiting := range q.waiting {
		first()
		runQueued(waiting, requestLimits[class].batch)
		left = left || len(waiting) > 0
	}
	if left {
		q.signal()
	}
}

// request runs f on the owning goroutine, in the order of the request's class, and waits for the value
// that f, or something that f started, passes to reply. It returns the zero value and false if ctx ends
// first, or if too many requests of the class wait. A request whose ctx has ended costs nothing.
func request[T any](ctx context.Context, n *Node, class requestClass, f func(reply func(T))) (T, bool) {
	out := make(chan T, 1)
	var zero T
	queued := n.requests.add(class, func() {
		if ctx.Err() == nil {
			f(replyTo(out))
		}
	})
	if !queued {
		return zero, false
	}
	return receive(ctx, out)
}

// replyTo returns a function that sends the first value that it is called with.
func replyTo[T any](out chan<- T) func(T) {
	return func(v T) {
		select {
		case out <- v:
		default:
		}
	}
}

// receive waits for a value until ctx ends.
func receive[T any](ctx context.Context, in <-chan T) (T, bool) {
	select {
	case v := <-in:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}
