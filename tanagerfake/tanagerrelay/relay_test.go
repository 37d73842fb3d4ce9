package tanagerrelay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A hold of one source holds back its connections only, and delivers their bytes after
// the release.
func TestHoldOfSource(t *testing.T) {
	c := qt.New(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer upstream.Close()
	received := make(chan string, 2)
	go func() {
		for {
			connection, err := upstream.Accept()
			if err != nil {
				return
			}
			go func() {
				content, _ := io.ReadAll(connection)
				received <- string(content)
			}()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := New(netip.MustParseAddrPort(upstream.Addr().String()))
	go r.Run(ctx, listener)
	send := func(member string) string {
		connection, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		text := "GET / HTTP/1.1\r\n" + SourceHeader + ": " + member + "\r\n\r\n"
		_, err = connection.Write([]byte(text))
		c.Assert(err, qt.IsNil)
		c.Assert(connection.Close(), qt.IsNil)
		return text
	}
	release := r.Hold("127.0.0.1:1")
	held := send("127.0.0.1:1/x")
	passing := send("127.0.0.1:2/x")
	c.Check(<-received, qt.Equals, passing)
	release()
	c.Check(<-received, qt.Equals, held)
}
