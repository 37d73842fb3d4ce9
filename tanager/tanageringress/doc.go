// Package tanageringress bounds what the clients of an HTTP server can make it
// hold, so that clients which the operator does not control cannot end the
// process or lock out others.
//
// A [Gate] belongs to one process and bounds its connections. When all are in use
// and another client connects, the gate closes the connection that has gone the
// longest without a byte in either direction, of those that wait for their client.
// A connection whose request is being handled is never closed for another. A crowd
// that only stays connected thus makes room for clients that send requests.
//
// The gate also has a budget of bytes for what its connections hold beyond a few KiB
// each. Heads and bodies of requests take from it as their bytes come, as much as
// they take in memory: a header field of few bytes takes many times its size. If the
// budget is spent, a connection that asks for more of it gets the parts of requests
// that stand still, or else is turned away. Ordinary requests are so small that they
// do not depend on it, and one that is alone is never turned away.
//
// The receive buffers of the connections are small, and the time for a response is
// limited, so that clients which send on and on and read nothing hold little.
//
// # Usage
//
//	gate := tanageringress.New(tanageringress.NewLimits(memoryBytes, maxFiles, headBytes), timer)
//	listener, err := gate.Listen(address)
//	server := &http.Server{Handler: handler}
//	gate.Configure(server)
//	err = server.Serve(listener)
//
// The handler tells the gate when it begins and reads the body through it. The
// connection is kept until the response is written. A handler that reads no body
// says when it has received the request:
//
//	tanageringress.Begin(r, timeout)
//	body, err := tanageringress.ReadBody(w, r, maxBytes)
//
//	tanageringress.Begin(r, timeout)
//	tanageringress.Received(r)
package tanageringress
