"""The command line of ragwortpaddle's operators."""
