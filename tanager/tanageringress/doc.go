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
// # Usage
//
//	gate := tanageringress.New(tanageringress.NewLimits(memoryBytes, maxFiles), timer)
//	listener, err := gate.Listen(address)
//	server := &http.Server{Handler: handler}
//	gate.Configure(server)
//	err = server.Serve(listener)
//
// The handler tells the gate when it has received a request, so that its connection
// is kept until the response is written:
//
//	tanageringress.Received(r)
package tanageringress
