"""How a VM keeps its routes up to date, and knows how old they may be."""
