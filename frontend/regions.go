package frontend

import (
	"slices"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
	"github.com/waxwingspindle/waxwingspindle/region"
)

// SetRegions sets the regions of data centres. Without them the regions of routes and workspaces are ignored. It must be
// called before Serve.
func (s *Server) SetRegions(regions region.Map) { s.regions = regions }

// targetRegions returns the data centres of the targets that may run statements of a route and a workspace.
func (s *Server) targetRegions(database string, workspace model.Workspace) region.Constraint {
	c := s.catalog()
	return s.regions.Targets(c.RouteRegions[database], c.WorkspaceRegions[workspace])
}

// hostRegions returns the data centres of the hosts that statements of a route and a workspace may be forwarded to.
func (s *Server) hostRegions(database string, workspace model.Workspace) region.Constraint {
	return s.regions.Hosts(s.targetRegions(database, workspace), s.dataCentre)
}

// primaryAvailable reports whether the primary is neither evacuated nor outside the given data centres.
func (s *service) primaryAvailable(allowed region.Constraint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.poolTargets, func(t pool.Target) bool {
		return t.ID == s.doc.Primary && (t.Evacuated || !allowed.Allows(t.DataCentre))
	})
}

// checkRegions logs that regions of a configuration are ignored.
func (s *Server) checkRegions(c *catalog.Catalog) {
	if len(s.regions) == 0 && len(c.RouteRegions)+len(c.WorkspaceRegions) > 0 {
		s.log.Warn("regions: ignored, the settings name no regions of data centres", zap.Int("routes", len(c.RouteRegions)),
			zap.Int("workspaces", len(c.WorkspaceRegions)))
	}
}
