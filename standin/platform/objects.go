package platform

import (
	"net/http"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
)

// putObject handles PUT /v1/objects/{key}.
func (s *Server) putObject(c iris.Context) {
	content, err := c.GetBody()
	if err != nil {
		writeError(c, errors.Wrap(err, "object body"))
		return
	}
	if err := s.Store.PutObject(c.Params().Get("key"), content); err != nil {
		writeError(c, err)
		return
	}
	c.StatusCode(http.StatusNoContent)
}

// getObject handles GET /v1/objects/{key}.
func (s *Server) getObject(c iris.Context) {
	content, err := s.Store.GetObject(c.Params().Get("key"))
	if err != nil {
		writeError(c, err)
		return
	}
	c.ContentType("application/octet-stream")
	_, _ = c.Write(content)
}

// deleteObject handles DELETE /v1/objects/{key}.
func (s *Server) deleteObject(c iris.Context) {
	if err := s.Store.DeleteObject(c.Params().Get("key")); err != nil {
		writeError(c, err)
		return
	}
	c.StatusCode(http.StatusNoContent)
}
