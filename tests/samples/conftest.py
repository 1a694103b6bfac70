import sys
from pathlib import Path

# Make the helper modules of this folder importable.
sys.path.insert(0, str(Path(__file__).parent))
