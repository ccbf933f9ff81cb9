"""What each role costs by size: measured slopes, rows of capacity worked out from them, and the page's tables."""
