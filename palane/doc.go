// Package palane lets net/http serve pipelined HTTP/1.1 requests of one connection concurrently.
//
// An http.Server reads the next request of a connection only after it has answered the previous one. A Listener
// splits each client connection into lanes: virtual net.Conns that carry one request at a time and that the server
// treats as separate connections. Responses are sent in request order: a write to a lane blocks until the responses
// to earlier requests have been sent.
//
// http.ReadRequest finds the end of each request, and the server then parses the same bytes again, so that it
// handles malformed requests as it would without lanes. Input after a request that the server may reject isn't
// read as a new request until that request has been answered.
package palane
