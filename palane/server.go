package palane

import (
	"cmp"
	"net/http"
)

// Server is an http.Server on a Listener. Use NewServer.
type Server struct {
	*Listener
	HTTP *http.Server
}

// NewServer returns a Server that passes the requests of c.Base's connections to a handler.
func NewServer(c Config, h http.Handler) *Server {
	l := NewListener(c)
	return &Server{l, &http.Server{Handler: h, MaxHeaderBytes: l.config.MaxHeaderBytes, ConnState: l.TrackState, ConnContext: WithLane}}
}

// Run serves until Close is called, or the base listener ends. Connections that are open then are served on until Close.
func (s *Server) Run() error {
	ended := make(chan error, 2)
	go func() { ended <- s.Listener.Run() }()
	go func() { ended <- s.HTTP.Serve(s.Listener) }()
	first := <-ended
	// The other one ends as the listener is closed, if it is not yet.
	closing := s.Listener.Close()
	return cmp.Or(first, <-ended, closing)
}

// Close ends the server and closes all connections.
func (s *Server) Close() {
	s.HTTP.Close()
	// The error does not matter: the base listener may be closed already.
	_ = s.Listener.Close()
	s.CloseConnections()
}
