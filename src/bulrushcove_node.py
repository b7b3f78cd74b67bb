"""Starts the node program from a source checkout."""

from bulrushcove.platform.program import main

if __name__ == '__main__':
    main()
